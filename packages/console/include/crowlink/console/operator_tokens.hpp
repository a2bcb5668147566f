#pragma once

#include "crowlink/base/error.hpp"

#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crowlink
{

// Who may use the console: names and the hashes of their tokens. The file is
// JSON with comments:
//
//   { "operators": [ { "name": "maria", "token_hash": "<64 hex digits>" } ] }
class operator_tokens
{
public:
    // Nobody.
    operator_tokens() = default;

    // Reads the text of a tokens file; `place` names it in errors.
    static result<operator_tokens> parse(std::string_view text,
                                         const std::string& place);
    // Reads a tokens file, which others must not be able to write.
    static result<operator_tokens> load(const std::filesystem::path& file);

    // The name of the operator whose token this is. Compares every stored hash
    // in constant time.
    std::optional<std::string> find(const std::string& token) const;

    // Whether an operator of this name is still listed.
    bool lists(std::string_view name) const;

private:
    struct entry
    {
        std::string name;
        std::string hash;
    };

    std::vector<entry> m_entries;
};

} // namespace crowlink
