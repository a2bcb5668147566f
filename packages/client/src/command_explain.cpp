#include "answers.hpp"
#include "command_line.hpp"
#include "commands.hpp"

#include <fmt/format.h>
#include <fmt/ostream.h>
#include <httplib.h>

namespace crowlink::internal
{

namespace
{

std::string names(const nlohmann::json& list)
{
    std::string text;
    for (const auto& item : list)
    {
        text += (text.empty() ? "" : ", ") + item.get<std::string>();
    }
    return text.empty() ? "none" : text;
}

void print_explanation(std::ostream& stream, const nlohmann::json& body)
{
    fmt::print(stream,
               "flow      {}\nservice   {} ({})\nversion   {}\n"
               "table     {}\nchain     {}\n",
               body.at("flow").get<std::string>(),
               body.at("service_name").get<std::string>(),
               body.at("service").dump(), body.at("version").dump(),
               body.at("table").dump(), names(body.at("chain")));
    if (!body.at("previous_chain").empty())
    {
        fmt::print(stream, "previous  {}\n", names(body.at("previous_chain")));
    }
}

} // namespace

exit_code run_explain(const arguments_type& arguments, command_output& output)
{
    server_command_line line("Shows the service, table and candidate chain "
                             "that a balancer would use for a flow.",
                             output);
    TCLAP::UnlabeledMultiArg<std::string> words(
        "flow", "such as udp 192.0.2.7:4711 198.51.100.1:80", true, "FLOW",
        line.line());
    if (const auto ended = line.parse(arguments))
    {
        return *ended;
    }
    std::string flow;
    for (const auto& word : words.getValue())
    {
        flow += (flow.empty() ? "" : " ") + word;
    }
    const auto path =
        httplib::append_query_params("/v1/explain", {{"flow", flow}});
    return ask_and_print(line.options(), {path, ""}, print_explanation, output);
}

} // namespace crowlink::internal
