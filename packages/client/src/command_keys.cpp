#include "command_line.hpp"
#include "commands.hpp"
#include "crowlink/transport/key_file.hpp"

#include <fmt/ostream.h>

namespace crowlink::internal
{

namespace
{

exit_code to_exit_code(const error& failure, command_output& output)
{
    fmt::print(output.err, "{}\n", to_string(failure));
    return failure.kind == error_kind::forbidden ? exit_code::forbidden
                                                 : exit_code::failed;
}

exit_code make_host_key(const std::string& file, command_output& output)
{
    const auto pair = curve_key_pair::generate();
    const auto written = pair.and_then([&file](const curve_key_pair& made)
                                       { return write_key_file(file, made); });
    if (!written)
    {
        return to_exit_code(written.error(), output);
    }
    fmt::print(output.out, "public_key  {}\n", pair->public_key);
    return exit_code::ok;
}

exit_code make_packet_key(const std::string& file, unsigned number,
                          command_output& output)
{
    const auto key = packet_key::generate(static_cast<std::uint8_t>(number));
    const auto written = write_key_file(file, key);
    if (!written)
    {
        return to_exit_code(written.error(), output);
    }
    fmt::print(output.out, "packet_key  {}\n", number);
    return exit_code::ok;
}

// Shows a file's public key, or the number of a packet key; never a secret.
exit_code show(const std::string& file, command_output& output)
{
    const auto pair = read_curve_key_file(file);
    if (pair)
    {
        fmt::print(output.out, "public_key  {}\n", pair->public_key);
        return exit_code::ok;
    }
    const auto key = read_packet_key_file(file);
    if (key)
    {
        fmt::print(output.out, "packet_key  {}\n", key->number);
        return exit_code::ok;
    }
    return to_exit_code(pair.error(), output);
}

} // namespace

exit_code run_keys(const arguments_type& arguments, command_output& output)
{
    command_line line("Makes a key file, readable by its owner alone, or shows "
                      "what others may know of one: a host's public key, which "
                      "goes into settings and the file of allowed keys, or the "
                      "number of a packet key.",
                      output);
    std::vector<std::string> actions{"new", "show"};
    TCLAP::ValuesConstraint<std::string> allowed(actions);
    TCLAP::UnlabeledValueArg<std::string> action("action", "what to do", true,
                                                 "", &allowed, line.line());
    TCLAP::UnlabeledValueArg<std::string> file("file", "the key file", true, "",
                                               "FILE", line.line());
    TCLAP::ValueArg<unsigned> packet(
        "", "packet", "make a packet key of this number, 0 to 255", false, 0,
        "NUMBER", line.line());
    if (const auto ended = line.parse(arguments))
    {
        return *ended;
    }
    if (action.getValue() == "show")
    {
        return show(file.getValue(), output);
    }
    constexpr unsigned largest_number = 255;
    if (packet.getValue() > largest_number)
    {
        fmt::print(output.err, "--packet: found {}; allowed: 0 to 255\n",
                   packet.getValue());
        return exit_code::usage;
    }
    return packet.isSet()
               ? make_packet_key(file.getValue(), packet.getValue(), output)
               : make_host_key(file.getValue(), output);
}

} // namespace crowlink::internal
