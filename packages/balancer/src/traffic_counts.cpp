#include "crowlink/balancer/traffic_counts.hpp"

#include "crowlink/base/metrics.hpp"

#include <fmt/format.h>

namespace crowlink
{

namespace
{

template <class Reason, std::size_t Count>
void add_drops(metrics& target, std::string_view sender,
               const std::array<std::uint64_t, Count>& drops)
{
    for (std::size_t i = 0; i < Count; ++i)
    {
        const auto reason = to_string(static_cast<Reason>(i));
        target.count(fmt::format("crowlink_balancer_{}_dropped_{}_total",
                                 sender, reason),
                     drops[i]);
    }
}

} // namespace

void add_to(metrics& target, const traffic_counts& counts)
{
    target.count("crowlink_balancer_forwarded_total", counts.forwarded);
    target.count("crowlink_balancer_forwarded_bytes_total",
                 counts.forwarded_bytes);
    target.count("crowlink_balancer_answers_total", counts.answers);
    target.count("crowlink_balancer_notices_total", counts.notices);
    target.count("crowlink_balancer_misdirected_total", counts.misdirected);
    add_drops<route_drop>(target, "caller", counts.route_drops);
    add_drops<datagram_drop>(target, "agent", counts.datagram_drops);
}

} // namespace crowlink
