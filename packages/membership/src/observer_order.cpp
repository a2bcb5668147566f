#include "observer_order.hpp"

#include "crowlink/base/hash.hpp"

#include <algorithm>
#include <tuple>

namespace crowlink::internal
{

std::vector<host_id> preference_order(std::string_view asker,
                                      const region_id& region,
                                      const std::vector<observer_info>& hosts)
{
    struct choice
    {
        bool remote;
        std::uint64_t rank;
        host_id id;
    };
    const std::uint64_t seed = stable_hash(asker);
    std::vector<choice> choices;
    choices.reserve(hosts.size());
    for (const observer_info& each : hosts)
    {
        choices.push_back(choice{each.region != region,
                                 stable_hash(each.id.value(), seed), each.id});
    }
    std::sort(choices.begin(), choices.end(),
              [](const choice& first, const choice& second)
              {
                  return std::tie(first.remote, first.rank, first.id) <
                         std::tie(second.remote, second.rank, second.id);
              });
    std::vector<host_id> order;
    order.reserve(choices.size());
    for (choice& each : choices)
    {
        order.push_back(std::move(each.id));
    }
    return order;
}

std::size_t index_in(const std::vector<host_id>& order, const host_id& host)
{
    const auto found = std::find(order.begin(), order.end(), host);
    return found == order.end()
               ? 0
               : static_cast<std::size_t>(found - order.begin());
}

} // namespace crowlink::internal
