#pragma once

#include "crowlink/base/random.hpp"
#include "crowlink/base/time.hpp"
#include "crowlink/requests/caller_effects.hpp"
#include "crowlink/requests/caller_settings.hpp"
#include "crowlink/requests/outgoing_request.hpp"

#include <cstddef>
#include <memory>
#include <string_view>

namespace crowlink
{

namespace internal
{
class caller_core;
}

// The caller's side of requests over datagrams, without I/O. Guarantees:
//
// - Each request gets exactly one outcome, not later than its deadline, and
//   immediately when no further attempt will be made.
// - An answer is delivered complete and belongs to its request.
// - A request that is not idempotent runs at most once.
// - The verdict `not_run` is given only if it is proven.
// - Resends and retries together stay within the retry budget.
class request_caller
{
public:
    // The random engine generates the caller's id, the secrets of tickets and
    // the jitter. In production it is seeded from the system.
    request_caller(const caller_settings& settings, seeded_random random);
    request_caller(request_caller&& other) noexcept;
    request_caller& operator=(request_caller&& other) noexcept;
    ~request_caller();

    // Starts a request. The effects may already contain its outcome.
    request_id submit(time_point now, outgoing_request request,
                      caller_effects& effects);

    // Cancels a request. Its outcome follows when the agent confirms, or after
    // the cancel timeout. Has no effect if the request has ended.
    void cancel(time_point now, request_id id, caller_effects& effects);

    // Handles a datagram that arrived on a path.
    void receive(time_point now, path_index path, std::string_view datagram,
                 caller_effects& effects);

    // Handles expired timers. To be called at next_wakeup() or later.
    void advance(time_point now, caller_effects& effects);

    // Returns the time of the earliest timer, or time_point::max() if none is
    // set.
    time_point next_wakeup() const;

    // Returns the number of requests without an outcome.
    std::size_t outstanding() const;

    // Returns the number of datagrams that answered nothing outstanding.
    std::uint64_t ignored() const;

private:
    std::unique_ptr<internal::caller_core> m_core;
};

} // namespace crowlink
