#include "crowlink/agent/opening_deadline.hpp"

#include <algorithm>
#include <array>

namespace crowlink::internal
{

namespace
{

// When callers send each copy of an opening packet, and when they give up
// opening.
constexpr std::array<std::chrono::milliseconds, 3> copy_times{
    std::chrono::milliseconds(0), std::chrono::milliseconds(200),
    std::chrono::milliseconds(600)};
constexpr duration opening_timeout = std::chrono::milliseconds(1400);
// For the return path of the response and one more round trip for the request.
constexpr duration path_allowance = std::chrono::milliseconds(20);

} // namespace

opening_deadline opening_deadline::of(time_point now, const route_terms& terms,
                                      std::uint32_t copy)
{
    const std::size_t known =
        std::min<std::size_t>(copy, copy_times.size() - 1);
    const time_point base = now - copy_times.at(known) - path_allowance;
    const time_point aim = base + terms.aim;
    return opening_deadline{aim, std::min(aim, now + terms.aim / 2),
                            base + std::min(terms.timeout, opening_timeout)};
}

} // namespace crowlink::internal
