#include "crowlink/balancer/rotation_policy.hpp"

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <utility>

namespace crowlink
{

namespace
{

// A host leaves only after the list was unchanged for this long, so that hosts
// whose lists differ for a moment do not leave by different lists.
constexpr duration settle_time = std::chrono::seconds(3);
// Hosts that disappeared still count for the fabric's "half of the hosts" for
// some time that is not known; a host that restarts is back within a minute.
constexpr duration count_memory = std::chrono::minutes(1);
// Hosts leave if the rest carries at least 3/2 of what all carry.
constexpr std::uint64_t gain_numerator = 3;
constexpr std::uint64_t gain_denominator = 2;

std::uint64_t carried(const std::vector<host_capacity>& sorted,
                      std::size_t count)
{
    return std::uint64_t{count} * sorted[count - 1].mbps;
}

} // namespace

rotation_policy::rotation_policy(host_id self) : m_self(std::move(self)) {}

void rotation_policy::set_hosts(time_point now,
                                std::vector<host_capacity> hosts)
{
    std::sort(hosts.begin(), hosts.end(),
              [](const host_capacity& first, const host_capacity& second) {
                  return std::tie(second.mbps, first.id) <
                         std::tie(first.mbps, second.id);
              });
    if (hosts == m_hosts)
    {
        return;
    }
    const std::size_t before = m_hosts.size();
    while (!m_past.empty() && m_past.back().hosts <= before)
    {
        m_past.pop_back();
    }
    m_past.push_back(past_count{before, now + count_memory});
    m_hosts = std::move(hosts);
    m_unchanged_since = now;
}

void rotation_policy::tick(time_point now, bool is_current)
{
    while (!m_past.empty() && m_past.front().until <= now)
    {
        m_past.pop_front();
    }
    if (!is_current)
    {
        m_unchanged_since = now;
    }
    if (!is_current || is_needed())
    {
        m_is_ready = true;
    }
    else if (now - m_unchanged_since >= settle_time)
    {
        m_is_ready = false;
    }
}

// Also true for a host that is not in the list: the others do not count on it,
// but the list does not contain the record of this host yet and so is not the
// one that the others use.
bool rotation_policy::is_needed() const
{
    const auto own = std::find_if(m_hosts.begin(), m_hosts.end(),
                                  [this](const host_capacity& each)
                                  { return each.id == m_self; });
    const auto rank = static_cast<std::size_t>(own - m_hosts.begin());
    return own == m_hosts.end() || rank < best_count();
}

std::size_t rotation_policy::least_ready() const
{
    const std::size_t earlier = m_past.empty() ? 0 : m_past.front().hosts;
    return (std::max(earlier, m_hosts.size()) + 1) / 2;
}

// How many hosts should be ready: all of them unless fewer carry much more.
std::size_t rotation_policy::best_count() const
{
    const std::size_t all = m_hosts.size();
    std::size_t best = all;
    for (std::size_t count = all; count > 0 && count >= least_ready(); --count)
    {
        if (carried(m_hosts, count) > carried(m_hosts, best))
        {
            best = count;
        }
    }
    const bool is_worth_it =
        all > 0 && carried(m_hosts, best) * gain_denominator >=
                       carried(m_hosts, all) * gain_numerator;
    return is_worth_it ? best : all;
}

} // namespace crowlink
