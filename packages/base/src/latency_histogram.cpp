#include "crowlink/base/latency_histogram.hpp"

#include "crowlink/base/metrics.hpp"

#include <fmt/format.h>

namespace crowlink
{

void latency_histogram::add(duration took)
{
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(took).count();
    const auto value = static_cast<std::uint64_t>(
        milliseconds < 0 ? decltype(milliseconds){} : milliseconds);
    ++m_count;
    m_sum_ms += value;
    for (std::size_t at = 0; at < bounds_ms.size(); ++at)
    {
        m_buckets[at] += value <= bounds_ms[at] ? 1 : 0;
    }
}

void latency_histogram::write_to(metrics& out, std::string_view name,
                                 std::string_view label) const
{
    for (std::size_t at = 0; at < bounds_ms.size(); ++at)
    {
        out.count(fmt::format("{}_bucket{{{},le=\"{}\"}}", name, label,
                              bounds_ms[at]),
                  m_buckets[at]);
    }
    out.count(fmt::format("{}_bucket{{{},le=\"+Inf\"}}", name, label), m_count);
    out.count(fmt::format("{}_sum{{{}}}", name, label), m_sum_ms);
    out.count(fmt::format("{}_count{{{}}}", name, label), m_count);
}

} // namespace crowlink
