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

// An agent's side of requests over datagrams, without I/O: it stands between
// the packet path and the upstream of a service whose document lists kinds.
// A request runs at most once under its ticket and sequence; one that cannot
// start in time is refused at once with the time to come back.
class request_admission
{
public:
    // The incarnation must differ at every start of the agent.
    request_admission(const admission_settings& settings, incarnation own);
    request_admission(request_admission&& other) noexcept;
    request_admission& operator=(request_admission&& other) noexcept;
    ~request_admission();

    // Takes one datagram of a caller, as delivered by the packet path.
    void handle_datagram(time_point now, const flow_key& flow,
                         std::string_view datagram, admission_effects& effects);

    // Takes one datagram of the upstream.
    void handle_upstream(time_point now, std::string_view datagram,
                         admission_effects& effects);

    // The upstream died: what ran may have run, and nothing starts until
    // upstream_ready().
    void upstream_lost(admission_effects& effects);
    void upstream_ready(time_point now, admission_effects& effects);

    // The upstream is leaving: what was admitted still runs, and nothing else
    // is. Callers are told to open other flows, and do so within the time that
    // they rely on a ticket unconfirmed (caller_settings), so an agent stays
    // for longer than that and until nothing runs or waits.
    void drain();

    // The service's document or the limits changed. What runs runs on; queued
    // requests of a kind that is gone are refused.
    void apply(time_point now, const admission_settings& settings,
               admission_effects& effects);

    // Does what is due. To be called at next_wakeup() or later.
    void advance(time_point now, admission_effects& effects);

    // When something is due next; time_point::max() if nothing is.
    time_point next_wakeup() const;

    const admission_counts& counts() const;

private:
    std::unique_ptr<internal::admission_core> m_core;
};

} // namespace crowlink
