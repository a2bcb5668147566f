#include "answers.hpp"
#include "command_line.hpp"
#include "commands.hpp"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <fmt/ostream.h>

namespace crowlink::internal
{

namespace
{

using nlohmann::json;

void print_evacuations(std::ostream& stream, const json& body)
{
    const json& list = body.at("evacuations");
    if (list.empty())
    {
        fmt::print(stream, "no data centre is evacuated\n");
    }
    for (const json& each : list)
    {
        const auto when = static_cast<std::time_t>(
            each.at("ordered_at_s").get<std::int64_t>());
        fmt::print(stream, "{:<24}  since {:%Y-%m-%d %H:%M:%S} UTC  by {}\n",
                   each.at("data_centre").get<std::string>(), fmt::gmtime(when),
                   each.at("author").get<std::string>());
    }
}

} // namespace

exit_code run_evacuate(const arguments_type& arguments, command_output& output)
{
    server_command_line line(
        "Evacuates a data centre: its upstreams keep their flows and get no "
        "new one. Lists the evacuated ones (list), evacuates one (start "
        "DATA-CENTRE) or takes it back (stop DATA-CENTRE). An order may be "
        "sent again.",
        output);
    TCLAP::UnlabeledMultiArg<std::string> words(
        "order", "list, start DATA-CENTRE or stop DATA-CENTRE", false, "ORDER",
        line.line());
    if (const auto ended = line.parse(arguments))
    {
        return *ended;
    }
    const auto& given = words.getValue();
    if (given.empty() || (given.size() == 1 && given.front() == "list"))
    {
        return ask_and_print(line.options(), {"/v1/evacuations", ""},
                             print_evacuations, output);
    }
    const bool is_order = given.size() == 2 &&
                          (given.front() == "start" || given.front() == "stop");
    if (!is_order)
    {
        fmt::print(output.err, "crowlink evacuate: must be followed by list, "
                               "start DATA-CENTRE or stop DATA-CENTRE; see "
                               "--help\n");
        return exit_code::usage;
    }
    const json body = {{"action", given[0]}, {"data_centre", given[1]}};
    return ask_and_print(line.options(), {"/v1/evacuations", body.dump()},
                         print_evacuations, output);
}

} // namespace crowlink::internal
