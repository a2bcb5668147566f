#include "crowlink/base/hash.hpp"
#include "crowlink/membership/balancer_record.hpp"
#include "crowlink/membership/digest_table.hpp"
#include "crowlink/membership/membership_host.hpp"
#include "crowlink/membership/membership_send.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crowlink
{

service_id balancer_group(const place_id& where)
{
    const auto hash = static_cast<std::uint32_t>(stable_hash(where.value()));
    // The highest id is reserved as an end marker.
    constexpr std::uint32_t end_mark = 1U;
    return service_id((hash & ~end_mark) | first_balancer_group);
}

std::uint32_t link_weight(std::optional<double> mbps)
{
    constexpr double least = 1;
    constexpr double most = 1000;
    return mbps ? static_cast<std::uint32_t>(
                      std::round(std::clamp(*mbps, least, most)))
                : balancer_record().weight;
}

upstream_record to_member(const balancer_record& record)
{
    upstream_record out;
    out.id = upstream_id(record.id.value());
    out.service = balancer_group(record.where);
    out.started = record.started;
    out.sequence = record.sequence;
    out.agent = record.answers;
    out.where = record.where;
    out.state = record.state;
    out.weight = record.weight;
    return out;
}

std::size_t wire_size(const wire::membership_message& message)
{
    return message.ByteSizeLong() + framing_bytes;
}

namespace internal
{

void digest_table::replace(service_id service, std::size_t bucket,
                           std::uint64_t before, std::uint64_t after)
{
    const std::uint64_t change = after - before;
    m_buckets[bucket % bucket_count] += change;
    m_sums[service] += change;
    if (!is_balancer_group(service))
    {
        m_services_total += change;
        m_service_buckets[bucket % bucket_count] += change;
    }
}

std::uint64_t digest_table::of(service_id service) const
{
    const auto found = m_sums.find(service);
    return found == m_sums.end() ? 0 : found->second;
}

std::size_t bucket_of(service_id service, const upstream_id& id)
{
    return stable_hash(id.value(), service.value()) %
           digest_table::bucket_count;
}

} // namespace internal

membership_host::membership_host(observer_settings observing,
                                 publisher_settings publishing,
                                 std::uint64_t seed, time_point now)
    : m_self(observing.self.id)
    , m_observer(std::move(observing), now)
    , m_publisher(publishing, seed)
{
}

void membership_host::set_control_hosts(time_point now,
                                        const std::vector<observer_info>& hosts)
{
    std::vector<observer_info> peers;
    std::vector<host_id> names;
    for (const observer_info& each : hosts)
    {
        names.push_back(each.id);
        if (each.id != m_self)
        {
            peers.push_back(each);
        }
    }
    m_observer.set_peers(now, std::move(peers));
    m_publisher.set_control_hosts(std::move(names));
}

std::vector<membership_send>
membership_host::handle(time_point now, const host_id& from,
                        const wire::membership_message& in)
{
    if (in.has_attach_request() || in.has_alive() || in.has_ended())
    {
        return m_publisher.handle(now, from, in);
    }
    return take(now, m_observer.handle(now, from, in));
}

std::vector<membership_send> membership_host::tick(time_point now)
{
    auto sends = take(now, m_observer.tick(now));
    m_publisher.set_ready(m_observer.ready());
    m_publisher.set_cut_regions(m_observer.cut_regions(now));
    auto more = m_publisher.tick(now);
    std::move(more.begin(), more.end(), std::back_inserter(sends));
    return sends;
}

std::vector<membership_send> membership_host::take(time_point now,
                                                   observer_output out)
{
    for (const upstream_record& record : out.records)
    {
        m_publisher.record_changed(now, record);
    }
    for (const place_change& change : out.places)
    {
        m_publisher.place_changed(change);
    }
    return std::move(out.sends);
}

} // namespace crowlink
