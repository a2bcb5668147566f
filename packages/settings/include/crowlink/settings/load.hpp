#pragma once

#include "crowlink/base/error.hpp"
#include "crowlink/settings/daemon_settings.hpp"

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace crowlink
{

// The settings, or every error that was found in them.
using settings_result = tl::expected<daemon_settings, std::vector<error>>;

// Reads and checks a text. `file` names it in errors; relative paths in the
// text are resolved against that file's folder. No other file is read.
settings_result parse_settings(std::string_view text, const std::string& file);

// Reads and checks a file. A file that cannot be read yields one error of kind
// `storage`.
settings_result load_settings(const std::string& file);

} // namespace crowlink
