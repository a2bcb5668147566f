#pragma once

#include "crowlink/requests/remembered_request.hpp"

#include <cstdint>

namespace crowlink
{

// Status of a (ticket, sequence) in an at_most_once memory.
enum class sequence_status : std::uint8_t
{
    // Not seen before, and now stored; the request may run.
    fresh,
    // Seen before; the stored request holds its state.
    known,
    // Settled by the caller, hence a late duplicate.
    settled,
    // Beyond the sequence window, in violation of the protocol.
    beyond_window,
    // The ticket belongs to another incarnation or a forgotten session, or its
    // secret is wrong.
    stale,
};

struct sequence_lookup
{
    sequence_status kind = sequence_status::stale;
    // Set for `fresh` and `known`; valid until the memory is next changed.
    remembered_request* request = nullptr;
};

} // namespace crowlink
