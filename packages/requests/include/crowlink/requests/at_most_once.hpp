#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/base/time.hpp"
#include "crowlink/requests/memory_limits.hpp"
#include "crowlink/requests/sequence_lookup.hpp"
#include "crowlink/requests/ticket.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

namespace crowlink
{

namespace internal
{
class session_table;
}

// How far a sequence may be ahead of the lowest unsettled one.
constexpr std::uint64_t sequence_window = 64;

// The memory by which one agent incarnation runs each (ticket, sequence) at
// most once. It mints tickets and remembers, for each session, every sequence
// that it saw and that the caller has not settled; answers are kept for
// resends. Bounded: an idle session may be forgotten, and its ticket is stale
// from then on, since session numbers are never reused.
class at_most_once
{
public:
    at_most_once(incarnation own, const memory_limits& limits);
    at_most_once(at_most_once&& other) noexcept;
    at_most_once& operator=(at_most_once&& other) noexcept;
    ~at_most_once();

    // The ticket for a secret: the one granted before if it is remembered,
    // else a new one; none while there is no room.
    std::optional<ticket> open(time_point now, std::uint64_t secret);

    // Looks a sequence up and remembers it if it is fresh. What lies below
    // `settled_below` is forgotten and never fresh again.
    sequence_lookup sight(time_point now, const ticket& session_ticket,
                          std::uint64_t sequence, std::uint64_t settled_below);

    // Remembers the answer of a pending request. Yields it for sending, or
    // null if the caller has settled the sequence meanwhile.
    const request_answer* finish(std::uint64_t session, std::uint64_t sequence,
                                 request_answer answer);

    std::size_t sessions() const;
    std::size_t answer_bytes() const;

private:
    std::unique_ptr<internal::session_table> m_table;
};

} // namespace crowlink
