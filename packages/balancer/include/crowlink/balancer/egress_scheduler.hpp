#pragma once

#include "crowlink/balancer/bulk_admission.hpp"
#include "crowlink/balancer/egress_counts.hpp"
#include "crowlink/balancer/egress_offer.hpp"
#include "crowlink/balancer/egress_packet.hpp"
#include "crowlink/balancer/egress_verdict.hpp"
#include "crowlink/balancer/fair_queue.hpp"
#include "crowlink/balancer/link_pacer.hpp"
#include "crowlink/balancer/rate_meter.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace crowlink
{

// Orders and bounds what one traffic thread sends to agents, so that it waits
// here by urgency and not in the link's own queue: docs/design/entry-hosts.md.
class egress_scheduler
{
public:
    // The link capacity in Mbit/s is at least `min_mbps`.
    static constexpr double min_mbps = 0.1;

    explicit egress_scheduler(double link_mbps);

    // Decides about a packet. Does not allocate unless it is queued.
    egress_verdict offer(time_point now, const egress_offer& packet);
    // The next packet that is due, or empty.
    std::optional<egress_packet> take(time_point now);
    bool is_waiting() const { return !m_small.empty() || !m_bulk.empty(); }
    // When `take` is to be called again; the maximum if nothing waits.
    time_point next_send() const;

    // The caller or an agent has ended the flow: what it queued is discarded.
    void note_ended(std::uint64_t flow);

    const egress_counts& counts() const { return m_counts; }

private:
    egress_verdict pass_unclassified(std::size_t size);
    egress_verdict push_small(egress_packet packet);
    egress_verdict push_bulk(egress_packet packet);
    bool is_bulk_next();
    egress_packet pop_small();
    void note_sent(time_point now, std::uint64_t flow, std::size_t size,
                   bool is_bulk, bool finishes);
    double bulk_rate(time_point now);

    link_pacer m_pace;
    // What packets without terms may take from the pace.
    link_pacer m_unclassified;
    std::size_t m_max_small_bytes;
    std::deque<egress_packet> m_small;
    fair_queue m_bulk;
    bulk_admission m_bulk_flows;
    // Of all but bulk flows.
    rate_meter m_other_rate;
    // Sends of the first level since the last one of the second, while both
    // wait.
    std::uint32_t m_small_in_row = 0;
    egress_counts m_counts;
};

} // namespace crowlink
