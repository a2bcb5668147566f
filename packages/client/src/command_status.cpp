#include "answers.hpp"
#include "command_line.hpp"
#include "commands.hpp"

#include <fmt/format.h>
#include <fmt/ostream.h>

namespace crowlink::internal
{

namespace
{

using nlohmann::json;

std::string text_of(const json& object, const char* name)
{
    const auto& value = object.at(name);
    return value.is_string() ? value.get<std::string>() : value.dump();
}

void print_status(std::ostream& stream, const json& body)
{
    const auto leader = text_of(body, "leader");
    fmt::print(stream, "version  {}, confirmed {:.1f} s ago\n",
               text_of(body, "version"), body.at("age_s").get<double>());
    fmt::print(stream, "host     {}\nleader   {}\nquorum   {}\n",
               text_of(body, "host"), leader.empty() ? "none known" : leader,
               body.at("quorum").get<bool>() ? "yes" : "no");
    fmt::print(stream, "\n{:<24}  {:<10}  {:>8}  {:>8}\n", "node", "role",
               "version", "age, s");
    for (const auto& node : body.at("nodes"))
    {
        fmt::print(stream, "{:<24}  {:<10}  {:>8}  {:>8.1f}\n",
                   text_of(node, "host"), text_of(node, "role"),
                   text_of(node, "version"), node.at("age_s").get<double>());
    }
    fmt::print(stream, "\n{:<24}  {:>7}  {:<16}  {:<8}  {:>8}\n", "upstream",
               "service", "place", "state", "age, s");
    for (const auto& upstream : body.at("upstreams"))
    {
        fmt::print(stream, "{:<24}  {:>7}  {:<16}  {:<8}  {:>8.1f}\n",
                   text_of(upstream, "id"), text_of(upstream, "service"),
                   text_of(upstream, "place"), text_of(upstream, "state"),
                   upstream.at("age_s").get<double>());
    }
}

} // namespace

exit_code run_status(const arguments_type& arguments, command_output& output)
{
    server_command_line line("Shows who holds which version, how old it is, "
                             "who leads and who is draining.",
                             output);
    if (const auto ended = line.parse(arguments))
    {
        return *ended;
    }
    return ask_and_print(line.options(), {"/v1/status", ""}, print_status,
                         output);
}

} // namespace crowlink::internal
