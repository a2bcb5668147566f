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

// The caller's side of requests over datagrams, without I/O. Its promises:
//
// - Each request gets exactly one outcome, not later than its deadline, and at
//   once when nothing more will be tried.
// - An answer is handed over whole, and is the answer to this request.
// - A request that is not idempotent runs at most once.
// - A verdict `not_run` is proven.
// - Resends and retries together stay within the retry budget.
class request_caller
{
public:
    // The random engine draws the caller's number, tickets' secrets and
    // jitter; a shell seeds it from the system.
    request_caller(const caller_settings& settings, seeded_random random);
    request_caller(request_caller&& other) noexcept;
    request_caller& operator=(request_caller&& other) noexcept;
    ~request_caller();

    // Starts a request. It may end at once, within these effects.
    request_id submit(time_point now, outgoing_request request,
                      caller_effects& effects);

    // Gives a request up. Its outcome follows when the agent has confirmed or
    // after the cancel wait; nothing happens if it has ended already.
    void cancel(time_point now, request_id id, caller_effects& effects);

    // Takes one datagram that arrived on a path.
    void receive(time_point now, path_index path, std::string_view datagram,
                 caller_effects& effects);

    // Does what is due. To be called at next_wakeup() or later.
    void advance(time_point now, caller_effects& effects);

    // When something is due next; time_point::max() if nothing is.
    time_point next_wakeup() const;

    // Requests without an outcome yet.
    std::size_t outstanding() const;

    // Datagrams that were not an answer to anything outstanding.
    std::uint64_t ignored() const;

private:
    std::unique_ptr<internal::caller_core> m_core;
};

} // namespace crowlink
