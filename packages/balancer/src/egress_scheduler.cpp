#include "crowlink/balancer/egress_scheduler.hpp"

#include <algorithm>
#include <utility>

namespace crowlink
{

namespace
{

// Leaves room for headers of lower layers and for what else the host sends.
constexpr double used_share = 0.9;
constexpr double bytes_per_megabit = 125'000.0;
constexpr duration burst = std::chrono::milliseconds(20);
constexpr double small_seconds = 0.05;
// Below the caller's first retransmission after 200 ms, which would double the
// load.
constexpr double bulk_seconds = 0.15;
// 1,000 B of data and the headers of the flow.
constexpr std::size_t small_payload = 1040;
// A packet this old has been sent again by its caller.
constexpr duration longest_wait = std::chrono::milliseconds(400);
// So many sends of the first level, then one of the second.
constexpr std::uint32_t small_per_bulk = 3;

std::uint64_t digest_of(std::span<const std::uint8_t> bytes)
{
    return stable_hash(std::string_view(
        reinterpret_cast<const char*>(bytes.data()), bytes.size()));
}

double pace_of(double link_mbps)
{
    return used_share * bytes_per_megabit *
           std::max(link_mbps, egress_scheduler::min_mbps);
}

// At least one packet of the largest size that callers of the platform send.
std::size_t bound_of(double link_mbps, double seconds)
{
    constexpr double least = 4096.0;
    return static_cast<std::size_t>(
        std::max(least, pace_of(link_mbps) / used_share * seconds));
}

} // namespace

egress_scheduler::egress_scheduler(double link_mbps)
    : m_pace(pace_of(link_mbps), burst)
    , m_unclassified(pace_of(link_mbps) / 2.0, burst)
    , m_max_small_bytes(bound_of(link_mbps, small_seconds))
    , m_bulk(bound_of(link_mbps, bulk_seconds))
{
}

egress_verdict egress_scheduler::offer(time_point now,
                                       const egress_offer& packet)
{
    m_pace.refill(now, is_waiting());
    if (packet.terms == nullptr)
    {
        m_unclassified.refill(now, false);
        return pass_unclassified(packet.bytes.size());
    }
    const bool opens = packet.role == packet_role::opens;
    const bool resets = packet.role == packet_role::resets;
    const bool is_bulk = traits_of(packet.terms->requests).has_large_body;
    if (is_bulk && opens)
    {
        // The network may repeat the opening packet of a flow that was
        // admitted.
        if (packet.may_be_refused && !m_bulk_flows.knows(packet.flow) &&
            m_bulk_flows.is_full(now, packet.terms->aim, bulk_rate(now)))
        {
            ++m_counts.refused_flows;
            return egress_verdict::refused;
        }
        m_bulk_flows.open(now, packet.flow);
    }
    if (resets)
    {
        // The caller has given up: its data would be in vain.
        note_ended(packet.flow);
    }
    const bool counts_as_bulk = is_bulk && !opens && !resets;
    if (!is_waiting() && m_pace.is_open())
    {
        m_pace.take(packet.bytes.size());
        note_sent(now, packet.flow, packet.bytes.size(), counts_as_bulk,
                  packet.finishes);
        return egress_verdict::send_now;
    }
    egress_packet queued{packet.flow,
                         packet.destination,
                         now,
                         digest_of(packet.payload),
                         counts_as_bulk,
                         packet.finishes,
                         {packet.bytes.begin(), packet.bytes.end()}};
    const bool is_small = opens || resets ||
                          (!is_bulk && packet.payload.size() <= small_payload &&
                           !m_bulk.holds(packet.flow));
    return is_small ? push_small(std::move(queued))
                    : push_bulk(std::move(queued));
}

std::optional<egress_packet> egress_scheduler::take(time_point now)
{
    m_pace.refill(now, is_waiting());
    while (is_waiting() && m_pace.is_open())
    {
        const bool is_bulk = is_bulk_next();
        egress_packet packet = is_bulk ? m_bulk.pop() : pop_small();
        m_counts.bulk_queued_bytes = m_bulk.bytes();
        if (now - packet.since > longest_wait)
        {
            ++(is_bulk ? m_counts.bulk_dropped : m_counts.small_dropped);
            continue;
        }
        m_pace.take(packet.bytes.size());
        note_sent(now, packet.flow, packet.bytes.size(), packet.is_bulk,
                  packet.finishes);
        return packet;
    }
    return std::nullopt;
}

time_point egress_scheduler::next_send() const
{
    return is_waiting() ? m_pace.opens_at() : time_point::max();
}

void egress_scheduler::note_ended(std::uint64_t flow)
{
    m_counts.bulk_dropped += m_bulk.erase(flow);
    m_counts.bulk_queued_bytes = m_bulk.bytes();
    m_bulk_flows.note_aborted(flow);
}

// Sent as without this scheduler. It takes at most half of the pace, so that
// packets with terms always get the other half.
egress_verdict egress_scheduler::pass_unclassified(std::size_t size)
{
    if (m_unclassified.is_open())
    {
        m_unclassified.take(size);
        m_pace.take(size);
    }
    return egress_verdict::send_now;
}

egress_verdict egress_scheduler::push_small(egress_packet packet)
{
    const std::size_t size = packet.bytes.size();
    if (m_counts.small_queued_bytes + size > m_max_small_bytes)
    {
        ++m_counts.small_dropped;
        return egress_verdict::dropped;
    }
    ++m_counts.small_queued;
    m_counts.small_queued_bytes += size;
    m_small.push_back(std::move(packet));
    return egress_verdict::queued;
}

// Another packet may be dropped for this one.
egress_verdict egress_scheduler::push_bulk(egress_packet packet)
{
    if (m_bulk.holds(packet.flow, packet.digest))
    {
        ++m_counts.bulk_repeated;
        return egress_verdict::dropped;
    }
    ++m_counts.bulk_queued;
    m_counts.bulk_dropped += m_bulk.push(std::move(packet));
    m_counts.bulk_queued_bytes = m_bulk.bytes();
    return egress_verdict::queued;
}

bool egress_scheduler::is_bulk_next()
{
    const bool is_bulk = m_small.empty() ||
                         (!m_bulk.empty() && m_small_in_row >= small_per_bulk);
    m_small_in_row = is_bulk || m_bulk.empty() ? 0 : m_small_in_row + 1;
    return is_bulk;
}

egress_packet egress_scheduler::pop_small()
{
    egress_packet packet = std::move(m_small.front());
    m_small.pop_front();
    m_counts.small_queued_bytes -= packet.bytes.size();
    return packet;
}

// The part of the pace that first-level packets leave to bulk flows; a quarter
// of the sends is theirs in any case.
double egress_scheduler::bulk_rate(time_point now)
{
    const double pace = m_pace.bytes_per_second();
    return std::max(pace / (small_per_bulk + 1.0),
                    pace - m_other_rate.bytes_per_second(now));
}

void egress_scheduler::note_sent(time_point now, std::uint64_t flow,
                                 std::size_t size, bool is_bulk, bool finishes)
{
    if (!is_bulk)
    {
        m_other_rate.add(now, size);
        return;
    }
    m_bulk_flows.note_sent(now, flow, size);
    if (finishes)
    {
        m_bulk_flows.note_finished(flow);
    }
}

} // namespace crowlink
