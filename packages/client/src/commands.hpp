#pragma once

#include "crowlink/client/command.hpp"

#include <string>
#include <vector>

// The functions of the subcommands, each in a file of its own.
namespace crowlink::internal
{

using arguments_type = std::vector<std::string>;

exit_code run_apply(const arguments_type& arguments, command_output& output);
exit_code run_check(const arguments_type& arguments, command_output& output);
exit_code run_diff(const arguments_type& arguments, command_output& output);
exit_code run_drain(const arguments_type& arguments, command_output& output);
exit_code run_evacuate(const arguments_type& arguments, command_output& output);
exit_code run_explain(const arguments_type& arguments, command_output& output);
exit_code run_get(const arguments_type& arguments, command_output& output);
exit_code run_history(const arguments_type& arguments, command_output& output);
exit_code run_keys(const arguments_type& arguments, command_output& output);
exit_code run_members(const arguments_type& arguments, command_output& output);
exit_code run_plan(const arguments_type& arguments, command_output& output);
exit_code run_status(const arguments_type& arguments, command_output& output);
exit_code run_timeline(const arguments_type& arguments, command_output& output);
exit_code run_token(const arguments_type& arguments, command_output& output);

} // namespace crowlink::internal
