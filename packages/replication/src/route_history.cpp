#include "crowlink/replication/route_history.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace crowlink::replication
{

namespace
{

// A host may put a version in force late, and open flows by the one before
// until then.
constexpr std::chrono::milliseconds late_hosts = std::chrono::seconds(30);

using route_list = std::vector<routed_service>;
using route_position = route_list::const_iterator;

template <class Route>
auto address_of(const Route& route)
{
    return std::tie(route.address, route.protocol);
}

// The end of the entries with the address of the first one.
route_position end_of_address(route_position first, route_position last)
{
    return std::find_if(first, last,
                        [first](const routed_service& each)
                        { return address_of(each) != address_of(*first); });
}

// The services of the addresses whose services or weights differ now. An
// address that was not there before has none.
std::vector<former_route> find_changed(const route_list& before,
                                       const route_list& next,
                                       std::chrono::milliseconds now)
{
    std::vector<former_route> changed;
    auto held = next.begin();
    for (auto first = before.begin(); first != before.end();)
    {
        const auto last = end_of_address(first, before.end());
        held = std::find_if(held, next.end(),
                            [first](const auto& each)
                            { return address_of(each) >= address_of(*first); });
        const bool is_kept =
            held != next.end() && address_of(*held) == address_of(*first);
        const auto held_end = is_kept ? end_of_address(held, next.end()) : held;
        if (!std::equal(first, last, held, held_end))
        {
            std::transform(first, last, std::back_inserter(changed),
                           [now](const routed_service& each) {
                               return former_route{each.address, each.protocol,
                                                   each.service, now};
                           });
        }
        first = last;
    }
    return changed;
}

bool is_before(const former_route& one, const former_route& two)
{
    return std::tie(one.address, one.protocol, one.service) <
           std::tie(two.address, two.protocol, two.service);
}

} // namespace

route_history::route_history(route_table current,
                             std::vector<former_route> former,
                             std::chrono::milliseconds time)
    : m_current(std::move(current))
    , m_former(
          std::make_shared<const std::vector<former_route>>(std::move(former)))
    , m_time(time)
{
}

void route_history::advance(const change_routing& next)
{
    m_time = std::max(m_time, next.proposed_at);
    const auto changed =
        find_changed(m_current.routes(), next.routes.routes(), m_time);
    m_current = next.routes;
    std::vector<former_route> kept;
    // Of an entry that is in both, the union takes the first one's: the later.
    std::set_union(changed.begin(), changed.end(), m_former->begin(),
                   m_former->end(), std::back_inserter(kept), is_before);
    const auto oldest = m_time - next.flow_life - late_hosts;
    std::erase_if(kept, [oldest](const former_route& each)
                  { return each.changed_at < oldest; });
    if (kept != *m_former)
    {
        m_former =
            std::make_shared<const std::vector<former_route>>(std::move(kept));
    }
}

} // namespace crowlink::replication
