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

// Number of sequences, from the lowest unsettled one on, that may be in use.
constexpr std::uint64_t sequence_window = 64;

// Duplicate detection of one agent incarnation: each (ticket, sequence) runs at
// most once. Issues tickets and stores, for each session, every sequence that
// was received and that the caller has not settled. Answers are stored so that
// they can be resent. Memory is bounded: an idle session may be forgotten, and
// its ticket is stale from then on, because session numbers are never reused.
class at_most_once
{
public:
    at_most_once(incarnation own, const memory_limits& limits);
    at_most_once(at_most_once&& other) noexcept;
    at_most_once& operator=(at_most_once&& other) noexcept;
    ~at_most_once();

    // Returns the ticket for a secret: the ticket of the existing session if
    // there is one, else that of a new session. Returns nothing if the session
    // limit is reached and no session can be forgotten.
    std::optional<ticket> open(time_point now, std::uint64_t secret);

    // Looks up a sequence and stores it if it is new. Sequences below
    // `settled_below` are forgotten and are never accepted again.
    sequence_lookup look_up(time_point now, const ticket& session_ticket,
                            std::uint64_t sequence,
                            std::uint64_t settled_below);

    // Stores the answer to a pending request. Returns the stored answer, or
    // null if the session or the sequence is no longer stored.
    const request_answer* finish(std::uint64_t session, std::uint64_t sequence,
                                 request_answer answer);

    std::size_t sessions() const;
    std::size_t answer_bytes() const;

private:
    std::unique_ptr<internal::session_table> m_table;
};

} // namespace crowlink
