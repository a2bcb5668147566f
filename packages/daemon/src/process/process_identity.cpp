#include "process/process_identity.hpp"

#include "crowlink/membership/announcer.hpp"

#include <chrono>
#include <random>

namespace crowlink::internal
{

std::uint64_t wall_clock_ms()
{
    const auto since_epoch =
        std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
            .count());
}

std::uint64_t random_bits()
{
    std::random_device source;
    constexpr unsigned half = 32;
    return (std::uint64_t{source()} << half) | source();
}

incarnation fresh_incarnation()
{
    return first_incarnation(wall_clock_ms(), random_bits());
}

} // namespace crowlink::internal
