#include "crowlink/membership/subscriber.hpp"

#include "observer_order.hpp"

#include <algorithm>
#include <random>
#include <utility>

// Selection of the publisher and fail-over.

namespace crowlink
{

namespace
{

constexpr double min_return_share = 0.5;

} // namespace

void subscriber::set_publishers(time_point now,
                                std::vector<observer_info> publishers)
{
    const host_id before = m_order.empty() ? host_id() : source();
    const std::vector<host_id> order = m_order;
    m_settings.publishers = std::move(publishers);
    order_publishers();
    m_source = internal::index_in(m_order, before);
    if (m_order.empty() || source() != before)
    {
        m_behind_since.reset();
        reattach(now);
    }
    if (m_phase == phase::waiting)
    {
        m_next = now;
    }
    if (m_order != order)
    {
        const bool spreads = m_order.size() > m_settings.spread_above;
        m_return_at = spreads ? now : time_point::max();
    }
}

void subscriber::order_publishers()
{
    m_order = internal::preference_order(
        m_settings.self.value(), m_settings.region, m_settings.publishers);
}

const host_id& subscriber::source() const
{
    return m_order[m_source];
}

void subscriber::connection_lost(time_point now, const host_id& publisher)
{
    const bool was_better = better_publisher(now) == publisher;
    m_disconnected.insert(publisher);
    if (was_better)
    {
        return_later(now);
    }
    if (m_order.empty() || publisher != source() || m_phase == phase::waiting)
    {
        return;
    }
    const bool was_served = m_phase == phase::attached;
    next_publisher(now);
    if (!was_served)
    {
        // The request that failed put no load on a publisher, so there is no
        // backoff.
        m_next = now;
    }
}

void subscriber::connection_made(time_point now, const host_id& publisher)
{
    m_disconnected.erase(publisher);
    if (m_phase == phase::waiting)
    {
        m_next = std::min(m_next, now);
    }
}

bool subscriber::is_reachable(std::size_t at) const
{
    return m_disconnected.count(m_order[at]) == 0;
}

bool subscriber::is_named(std::size_t at) const
{
    return m_named_hosts.count(m_order[at]) != 0;
}

// Chooses the next publisher that is connected or was not tried yet. Hosts
// named as control hosts come before those that are only configured. Returns
// false if there is none.
bool subscriber::choose_publisher()
{
    std::optional<std::size_t> found;
    for (std::size_t step = 0; step < m_order.size(); ++step)
    {
        const std::size_t at = (m_source + step) % m_order.size();
        if (!is_reachable(at))
        {
            continue;
        }
        if (is_named(at))
        {
            m_source = at;
            return true;
        }
        found = found.value_or(at);
    }
    m_source = found.value_or(m_source);
    return found.has_value();
}

// The first publisher that the node would choose if it had none.
std::size_t subscriber::preferred() const
{
    for (std::size_t at = 0; at < m_order.size(); ++at)
    {
        if (is_named(at) && is_reachable(at))
        {
            return at;
        }
    }
    return m_source;
}

std::optional<host_id> subscriber::better_publisher(time_point now) const
{
    if (m_phase != phase::attached || now < m_return_at)
    {
        return std::nullopt;
    }
    const std::size_t wanted = preferred();
    return wanted == m_source ? std::nullopt : std::optional(m_order[wanted]);
}

// If that one does not serve, the node goes on to others as after a failure.
subscriber_output subscriber::move_to(time_point now, const host_id& publisher)
{
    subscriber_output out;
    wire::membership_message ended;
    ended.mutable_ended()->set_stream(m_stream);
    send(std::move(ended), out);
    m_source = internal::index_in(m_order, publisher);
    return_later(now);
    m_behind_since.reset();
    reattach(now);
    m_next = now;
    return out;
}

void subscriber::return_later(time_point now)
{
    if (m_order.size() > m_settings.spread_above)
    {
        std::uniform_real_distribution<double> share(min_return_share, 1.0);
        m_return_at = now + std::chrono::duration_cast<duration>(
                                m_settings.return_after * share(m_random));
    }
}

// A publisher that keeps the request serves it as soon as it may. It may be cut
// off from the other control hosts, so the node waits for a limited time.
void subscriber::handle_refusal(time_point now, bool kept)
{
    if (kept)
    {
        m_refusals = 0;
        m_next = now + m_settings.kept_request_timeout;
        return;
    }
    const bool knows_named_host = !m_named_hosts.empty() && !is_named(m_source);
    ++m_refusals;
    // Every publisher is asked once without a backoff in between.
    const bool has_others = m_refusals < m_order.size();
    const duration backoff = m_backoff;
    next_publisher(now);
    if (knows_named_host || has_others)
    {
        m_next = now;
        m_backoff = backoff;
        return;
    }
    m_refusals = 0;
}

void subscriber::next_publisher(time_point now)
{
    m_source = (m_source + 1) % m_order.size();
    return_later(now);
    m_behind_since.reset();
    reattach(now);
}

} // namespace crowlink
