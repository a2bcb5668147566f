#pragma once

#include "crowlink/base/shared_text.hpp"
#include "crowlink/replication/log_position.hpp"

#include <compare>
#include <cstdint>

namespace crowlink::replication
{

enum class entry_kind : std::uint8_t
{
    // Appended by a new leader to learn the commit index.
    no_operation,
    // Bytes for the state machine.
    payload,
    // An encoded membership, which takes effect when it is appended.
    membership,
};

// One entry of the replicated log.
struct log_entry
{
    log_index index = 0;
    term_number term = 0;
    entry_kind kind = entry_kind::no_operation;
    shared_text payload;

    friend auto operator<=>(const log_entry&, const log_entry&) = default;
};

} // namespace crowlink::replication
