#pragma once

#include "crowlink/base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace crowlink
{

class metrics;

// How long something took, in a fixed set of buckets. Constant memory, and
// nothing is allocated to add to it. Not thread-safe.
class latency_histogram
{
public:
    // Upper bounds in milliseconds. They hold the users' aims (150, 200, 500)
    // and deadlines (1,500 to 8,000) as bounds of their own.
    static constexpr std::array<std::uint32_t, 12> bounds_ms{
        5, 10, 20, 50, 100, 150, 200, 500, 1000, 1500, 3000, 8000};

    void add(duration took);

    std::uint64_t count() const { return m_count; }

    // Adds name_bucket, name_sum and name_count, as Prometheus has them;
    // `label` is one pair such as upstream="u1". The unit is milliseconds.
    void write_to(metrics& out, std::string_view name,
                  std::string_view label) const;

private:
    std::array<std::uint64_t, bounds_ms.size()> m_buckets{};
    std::uint64_t m_count = 0;
    std::uint64_t m_sum_ms = 0;
};

} // namespace crowlink
