#include "answers.hpp"
#include "command_line.hpp"
#include "commands.hpp"

#include <ctime>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <fmt/ostream.h>

namespace crowlink::internal
{

namespace
{

constexpr unsigned default_entries = 20;

void print_history(std::ostream& stream, const nlohmann::json& body)
{
    for (const auto& entry : body.at("history"))
    {
        const auto when = entry.at("accepted_at_s").get<std::int64_t>();
        fmt::print(stream, "{:>6}  {:%Y-%m-%d %H:%M:%S}  {:<16}  {}\n",
                   entry.at("version").get<std::uint64_t>(),
                   fmt::gmtime(static_cast<std::time_t>(when)),
                   entry.at("author").get<std::string>(),
                   entry.at("operation_id").get<std::string>());
    }
}

} // namespace

exit_code run_history(const arguments_type& arguments, command_output& output)
{
    server_command_line line("Lists the latest changes, the newest first: "
                             "version, time in UTC, operator, operation id.",
                             output);
    TCLAP::ValueArg<unsigned> most("", "most", "at most so many, default 20",
                                   false, default_entries, "NUMBER",
                                   line.line());
    if (const auto ended = line.parse(arguments))
    {
        return *ended;
    }
    const auto path = fmt::format("/v1/history?most={}", most.getValue());
    return ask_and_print(line.options(), {path, ""}, print_history, output);
}

} // namespace crowlink::internal
