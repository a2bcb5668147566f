#pragma once

#include "crowlink/agent/cold_start_limiter.hpp"
#include "crowlink/agent/completion_estimate.hpp"
#include "crowlink/agent/load_units.hpp"
#include "crowlink/agent/peer_loads.hpp"
#include "crowlink/agent/progress_monitor.hpp"
#include "crowlink/agent/recent_openings.hpp"
#include "crowlink/agent/service_time_estimator.hpp"
#include "crowlink/base/time.hpp"
#include "crowlink/model/service.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace crowlink::internal
{

// Decides whether a new flow is admitted. The decision compares the agent's own
// exact counts of open flows and work in progress with the limits that the
// operators declared and with the upstream's observed progress.
class admission
{
public:
    // For `work_per_slot` and `slots` see agent_settings.
    admission(duration stall_after, time_point started,
              std::uint32_t work_per_slot = 0, std::uint32_t slots = 0)
        : m_work_per_slot(work_per_slot)
        , m_announced_slots(slots)
        , m_progress(stall_after, started)
        , m_relative_time(equal_time)
    {
    }

    void declare(const service& declared, std::uint32_t weight);
    // An agent that finds its upstream running learns the slots later.
    void set_announced_slots(std::uint32_t slots);
    void set_draining(bool draining) { m_draining = draining; }
    bool is_draining() const { return m_draining; }
    void permit_shedding(time_point until) { m_shed_until = until; }

    void started(std::uint32_t weight) { m_work += weight; }
    void ended(time_point now, std::uint32_t weight, bool completed);

    // The requests at the upstream, counted from the arrival of their data, and
    // those that have completed since the last call.
    void note_requests(time_point now, std::uint64_t running,
                       std::uint32_t completed);
    // How long one request occupies a slot; empty without enough evidence.
    std::optional<duration> service_time(time_point now) const
    {
        return m_service_time.mean(now);
    }
    // The service time relative to that of the peers, as of the latest
    // assessment; 1000 is equal, or unknown.
    std::uint32_t relative_time_permille() const { return m_relative_time; }
    // Whether the terms of a route to this service are known.
    bool has_terms() const { return m_has_terms; }

    progress_monitor& progress() { return m_progress; }
    const progress_monitor& progress() const { return m_progress; }
    const sharing_policy& sharing() const { return m_sharing; }
    // Whether the upstream takes no new flow: it is judged stalled and has
    // permission to shed.
    bool is_shedding(time_point now) const;
    peer_loads& peers() { return m_peers; }

    void assess(time_point now);

    // In millionths of the upstream's capacity: the largest of the uses of
    // flows, of work and of the cold-start limit, relative to the upstream's
    // weight and share.
    std::uint32_t load(std::size_t flows) const;

    // Whether the work that runs and waits would delay one more request too
    // long.
    bool is_full_of_work() const;
    // Whether a retransmission of an opening packet that is rejected now may be
    // admitted: work ends within milliseconds, and the window of the cold-start
    // limit moves on.
    bool has_room_soon(time_point now) const;

    // The rate limit that holds after the upstream's start.
    cold_start_limiter& cold() { return m_cold; }

    // Whether one more flow is within the limits. A shedding upstream gets a
    // trial flow from time to time.
    bool can_admit(time_point now, std::size_t flows) const;
    // Whether a shedding upstream is due for a trial.
    bool wants_trial(time_point now) const;
    // Whether the head admits the flow without comparing loads with other
    // candidates.
    bool admits_at_once(time_point now, std::size_t flows) const;
    // Records that a flow was admitted.
    void admitted(time_point now);

    // The queue of opening packets, for flows whose terms are known.
    //
    // Whether the slots limit what is at the upstream.
    bool limits_work() const { return m_work_per_slot > 0; }
    // Whether new flows are taken at all, at once or later.
    bool takes_new_flows(time_point now) const;
    // Whether the upstream has room for one more flow now: a request for each
    // slot and one that covers the round trip of the next handshake. Without an
    // estimate of the service time, the limit of all other flows.
    bool has_window(time_point now, std::size_t flows);
    // Whether neither the work nor the openings without a request yet have
    // reached the limit of flows without terms.
    bool has_work_room(time_point now) const;
    // Whether a request would get a slot at once.
    bool has_free_slot(time_point now);
    // An opening packet was delivered; its request comes later.
    void opened(time_point now) { m_recent_openings.opened(now); }
    void set_held(std::size_t held) { m_held = held; }
    completion_estimate completion(time_point now);

    const target_limits& limits() const { return m_limits; }

private:
    std::uint64_t work_load() const;
    std::uint32_t share(time_point now) const;
    std::uint64_t running(time_point now) const;
    std::uint32_t assess_relative_time(time_point now) const;

    std::uint32_t m_work_per_slot;
    std::uint32_t m_announced_slots;
    target_limits m_limits;
    sharing_policy m_sharing;
    std::uint32_t m_weight = 100;
    bool m_draining = false;
    bool m_has_terms = false;
    std::uint64_t m_work = 0;
    // Opening packets that wait in the agent.
    std::uint64_t m_held = 0;
    // Requests whose data has come.
    std::uint64_t m_requests = 0;
    recent_openings m_recent_openings;
    cold_start_limiter m_cold;
    progress_monitor m_progress;
    peer_loads m_peers;
    service_time_estimator m_service_time;
    std::uint32_t m_relative_time;
    time_point m_now{};
    time_point m_shed_until{};
    time_point m_next_trial{};
};

} // namespace crowlink::internal
