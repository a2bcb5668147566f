#pragma once

#include "crowlink/base/error.hpp"
#include "crowlink/base/ids.hpp"
#include "crowlink/client/client_options.hpp"
#include "crowlink/client/command_output.hpp"
#include "crowlink/client/exit_code.hpp"
#include "crowlink/client/http_answer.hpp"
#include "crowlink/client/http_call.hpp"

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

namespace crowlink::internal
{

// Prints the JSON of a good answer for people.
using text_printer = std::function<void(std::ostream&, const nlohmann::json&)>;

// Asks a server and prints its answer in the chosen format, refusals included.
exit_code ask_and_print(const client_options& options, const http_call& call,
                        const text_printer& print, command_output& output);

// The same for a change that carries an operation id: if no answer came, says
// how to send it again: with `resend`, which holds that id.
exit_code change_and_print(const client_options& options, const http_call& call,
                           const std::string& resend, const text_printer& print,
                           command_output& output);

exit_code exit_code_of(error_kind kind);
exit_code print_error(const error& fault, command_output& output);

// Prints the list of differences of an answer, a line each.
void print_difference(std::ostream& stream, const nlohmann::json& list);

// Prints "version N".
void print_version(std::ostream& stream, const nlohmann::json& answer);

// The operation id that was given, or a new one.
operation_id operation_of(const std::string& given);

} // namespace crowlink::internal
