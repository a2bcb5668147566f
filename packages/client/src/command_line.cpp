#include "command_line.hpp"

#include <fmt/format.h>
#include <fmt/ostream.h>

namespace crowlink::internal
{

namespace
{

constexpr const char* default_server = "http://127.0.0.1:7080";
constexpr double default_timeout_s = 10;
constexpr char delimiter = ' ';
constexpr const char* version_text = "";
// TCLAP's own --version would stand in the way of the one of `get`.
constexpr bool own_help_and_version = false;

} // namespace

void help_output::usage(TCLAP::CmdLineInterface& line)
{
    m_output.out << "Usage:\n\n";
    _shortUsage(line, m_output.out);
    m_output.out << "\n";
    _longUsage(line, m_output.out);
}

command_line::command_line(const std::string& summary, command_output& output)
    : m_output(output)
    , m_help(output)
    , m_line(summary, delimiter, version_text, own_help_and_version)
    , m_help_visitor(&m_line, &m_help_pointer)
    , m_help_switch("h", "help", "prints this", m_line, false, &m_help_visitor)
{
    m_line.setExceptionHandling(false);
    m_line.setOutput(&m_help);
}

std::optional<exit_code>
command_line::parse(const std::vector<std::string>& arguments)
{
    // TCLAP takes the first one for the program's name, and out of the list.
    const std::string program = "crowlink " + arguments.front();
    auto named = arguments;
    named.front() = program;
    try
    {
        m_line.parse(named);
        return std::nullopt;
    }
    catch (const TCLAP::ExitException&)
    {
        return exit_code::ok;
    }
    catch (const TCLAP::ArgException& fault)
    {
        fmt::print(m_output.err, "{}: {} ({}); see --help\n", program,
                   fault.error(), fault.argId());
        return exit_code::usage;
    }
}

server_command_line::server_command_line(const std::string& summary,
                                         command_output& output)
    : command_line(summary, output)
    , m_servers("s", "server",
                fmt::format("URL of a control host; several are asked in turn; "
                            "default {}",
                            default_server),
                false, "URL", line())
    , m_token_file("", "token-file", "file that holds your token", false, "",
                   "FILE", line())
    , m_authority_file("", "authority-file",
                       "PEM file that servers' certificates are checked with",
                       false, "", "FILE", line())
    , m_output_format("o", "output", "text or json", false, "text", &m_allowed,
                      line())
    , m_timeout("", "timeout", "seconds for everything together, default 10",
                false, default_timeout_s, "SECONDS", line())
{
}

client_options server_command_line::options() const
{
    client_options options;
    options.servers = m_servers.getValue();
    if (options.servers.empty())
    {
        options.servers.emplace_back(default_server);
    }
    options.token_file = m_token_file.getValue();
    options.authority_file = m_authority_file.getValue();
    options.output = m_output_format.getValue() == "json" ? output_format::json
                                                          : output_format::text;
    options.timeout = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(m_timeout.getValue()));
    return options;
}

} // namespace crowlink::internal
