#pragma once

#include "crowlink/client/client_options.hpp"
#include "crowlink/client/command_output.hpp"
#include "crowlink/client/exit_code.hpp"

#include <optional>
#include <string>
#include <tclap/CmdLine.h>
#include <tclap/HelpVisitor.h>
#include <tclap/StdOutput.h>
#include <vector>

namespace crowlink::internal
{

// Writes TCLAP's help to the streams of a subcommand.
class help_output final : public TCLAP::StdOutput
{
public:
    explicit help_output(command_output& output) : m_output(output) {}

    void usage(TCLAP::CmdLineInterface& line) override;

private:
    command_output& m_output;
};

// The command line of one subcommand. Its own arguments are added to line().
class command_line
{
public:
    command_line(const std::string& summary, command_output& output);

    TCLAP::CmdLine& line() { return m_line; }

    // Nothing if the arguments are right, otherwise what to end with: after a
    // message, or after the help that was asked for.
    std::optional<exit_code> parse(const std::vector<std::string>& arguments);

private:
    command_output& m_output;
    help_output m_help;
    // TCLAP asks for the address of a pointer.
    TCLAP::CmdLineOutput* m_help_pointer = &m_help;
    TCLAP::CmdLine m_line;
    TCLAP::HelpVisitor m_help_visitor;
    TCLAP::SwitchArg m_help_switch;
};

// The same with the options of those subcommands that ask a server.
class server_command_line : public command_line
{
public:
    server_command_line(const std::string& summary, command_output& output);

    client_options options() const;

private:
    std::vector<std::string> m_formats{"text", "json"};
    TCLAP::ValuesConstraint<std::string> m_allowed{m_formats};
    TCLAP::MultiArg<std::string> m_servers;
    TCLAP::ValueArg<std::string> m_token_file;
    TCLAP::ValueArg<std::string> m_authority_file;
    TCLAP::ValueArg<std::string> m_output_format;
    TCLAP::ValueArg<double> m_timeout;
};

} // namespace crowlink::internal
