#pragma once

#include "crowlink/base/flow_key.hpp"
#include "crowlink/base/ids.hpp"
#include "crowlink/base/time.hpp"
#include "crowlink/requests/admission_counts.hpp"
#include "crowlink/requests/admission_effects.hpp"
#include "crowlink/requests/admission_settings.hpp"

#include <memory>
#include <string_view>

namespace crowlink
{

namespace internal
{
class admission_core;
}

// The agent's side of requests over datagrams, without I/O, between the packet
// path and the upstream of a service whose document lists kinds. A request runs
// at most once under its ticket and sequence. A request that cannot start in
// time is refused immediately with a delay after which to retry.
class request_admission
{
public:
    // The incarnation must be unique to each start of the agent.
    request_admission(const admission_settings& settings, incarnation own);
    request_admission(request_admission&& other) noexcept;
    request_admission& operator=(request_admission&& other) noexcept;
    ~request_admission();

    // Handles a datagram from a caller, as delivered by the packet path.
    void handle_datagram(time_point now, const flow_key& flow,
                         std::string_view datagram, admission_effects& effects);

    // Handles a datagram from the upstream.
    void handle_upstream(time_point now, std::string_view datagram,
                         admission_effects& effects);

    // Ends all running requests as may_have_run and refuses the queued ones,
    // because the upstream has failed. Nothing starts until upstream_ready().
    void upstream_lost(admission_effects& effects);
    void upstream_ready(time_point now, admission_effects& effects);

    // Drains the agent: admitted requests still run, and new ones are refused.
    // Callers are told to open other flows and do so within
    // caller_settings::ticket_validity, so the agent must stay up for longer
    // than that and until no request is running or queued.
    void drain();

    // Applies a change of the service's document or of the limits. Running
    // requests continue; queued requests of a removed kind are refused.
    void apply(time_point now, const admission_settings& settings,
               admission_effects& effects);

    // Handles expired timers. To be called at next_wakeup() or later.
    void advance(time_point now, admission_effects& effects);

    // Returns the time of the earliest timer, or time_point::max() if none is
    // set.
    time_point next_wakeup() const;

    const admission_counts& counts() const;

private:
    std::unique_ptr<internal::admission_core> m_core;
};

} // namespace crowlink
