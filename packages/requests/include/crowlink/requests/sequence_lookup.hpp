#pragma once

#include "crowlink/requests/remembered_request.hpp"

#include <cstdint>

namespace crowlink
{

// What an at_most_once memory knows of a (ticket, sequence).
enum class sequence_status : std::uint8_t
{
    // Never seen before, and remembered from now on: it may be run.
    fresh,
    // Seen before; the remembered request says how it stands.
    known,
    // The caller has said that it would not come again: a late duplicate.
    settled,
    // Further ahead than the window reaches: the caller breaks the rules.
    beyond_window,
    // The ticket is not of this incarnation, or its session is forgotten.
    stale,
};

struct sequence_lookup
{
    sequence_status kind = sequence_status::stale;
    // Set for `fresh` and `known`; valid until the memory is next changed.
    remembered_request* request = nullptr;
};

} // namespace crowlink
