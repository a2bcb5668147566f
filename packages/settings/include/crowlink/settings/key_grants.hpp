#pragma once

#include "crowlink/base/error.hpp"
#include "crowlink/settings/key_grant.hpp"

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace crowlink
{

// Every key that a control host knows, as the file of allowed keys lists them.
//
//   { "keys": [ { "public_key": "...", "holder": "entry-1",
//                 "roles": ["balancer"] },
//               { "public_key": "...", "holder": "loans-1",
//                 "roles": ["agent"], "services": [1], "revoked": true } ] }
class key_grants
{
public:
    using result_type = tl::expected<key_grants, std::vector<error>>;

    key_grants() = default;
    explicit key_grants(std::vector<key_grant> grants);

    // Reads JSON with comments; all errors at once. `file` names the text.
    static result_type parse(std::string_view text, const std::string& file);
    static result_type load(const std::string& file);

    // The grant of a key, or null for a stranger's key.
    const key_grant* find(std::string_view public_key) const;

    std::size_t size() const { return m_grants.size(); }

    friend auto operator<=>(const key_grants&, const key_grants&) = default;

private:
    // Sorted by key.
    std::vector<key_grant> m_grants;
};

} // namespace crowlink
