#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/console/operator_tokens.hpp"

#include <array>
#include <optional>
#include <sodium.h>
#include <string>
#include <string_view>

namespace crowlink::internal
{

// Sign-ins of the forms. A session is a signed text that holds the operator's
// name and when it ends, so that the server keeps no table of them; the key is
// drawn at the start of the process and ends all sessions with it.
class sessions
{
public:
    sessions(const operator_tokens& tokens, duration lifetime);

    // The session of an operator who has just shown a token.
    std::string open(const std::string& name, time_point now) const;

    // The operator of a session, unless it is forged, over, or of somebody who
    // is no longer listed.
    std::optional<std::string> find(std::string_view session,
                                    time_point now) const;

    // The token that a form of this session must carry: a page of another
    // origin cannot know it.
    std::string form_token(std::string_view session) const;
    bool is_form_token(std::string_view session, std::string_view token) const;

private:
    std::string sign(std::string_view text) const;

    const operator_tokens& m_tokens;
    duration m_lifetime;
    std::array<unsigned char, crypto_auth_KEYBYTES> m_key{};
};

} // namespace crowlink::internal
