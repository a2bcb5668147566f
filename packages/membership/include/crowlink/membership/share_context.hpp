#pragma once

#include <cstdint>

namespace crowlink::internal
{

// What the message says of the shares that it changes.
struct share_context
{
    std::uint64_t version = 0;
    std::uint32_t stream = 0;
    // Nothing of this version follows but changed terms.
    bool is_complete = false;
    // More changed terms follow at once.
    bool are_terms_pending = false;
};

} // namespace crowlink::internal
