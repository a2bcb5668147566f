#pragma once

#include "crowlink/base/error.hpp"
#include "crowlink/base/ids.hpp"
#include "crowlink/client/command_output.hpp"
#include "crowlink/client/exit_code.hpp"

#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace crowlink::internal
{

// The text of a file, or of standard input for "-".
result<std::string> read_file(const std::string& name);

// The text of a document that keeps every rule. Otherwise all errors are
// printed, and what to end with is returned.
tl::expected<std::string, exit_code> read_checked(const std::string& name,
                                                  command_output& output);

// The first line of what `get` prints, which tells `apply` what version the
// document was made from. It is a comment to every other reader.
std::string version_line(config_version version);
std::optional<config_version> read_version_line(const std::string& text);

} // namespace crowlink::internal
