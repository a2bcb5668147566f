#include "crowlink/base/metrics.hpp"

#include <fmt/format.h>

namespace crowlink
{

namespace
{

template <class Map>
auto& entry(Map& map, std::string_view name)
{
    const auto found = map.find(name);
    if (found != map.end())
    {
        return found->second;
    }
    return map[std::string(name)];
}

// A sample's name without its labels.
std::string_view family_of(std::string_view name)
{
    return name.substr(0, name.find('{'));
}

} // namespace

double summary::mean() const
{
    return count() == 0 ? 0.0 : boost::accumulators::mean(m_values);
}

double summary::max() const
{
    return count() == 0 ? 0.0 : boost::accumulators::max(m_values);
}

void metrics::count(std::string_view name, std::uint64_t by)
{
    entry(m_counters, name) += by;
}

void metrics::observe(std::string_view name, double value)
{
    entry(m_summaries, name).add(value);
}

std::uint64_t metrics::counter(std::string_view name) const
{
    const auto found = m_counters.find(name);
    return found == m_counters.end() ? 0 : found->second;
}

void metrics::add(const metrics& other)
{
    for (const auto& [name, value] : other.m_counters)
    {
        count(name, value);
    }
}

std::string metrics::render() const
{
    std::string text;
    std::string_view last;
    for (const auto& [name, value] : m_counters)
    {
        // The samples of one family differ in their labels only, and lie side
        // by side.
        const std::string_view family = family_of(name);
        if (family != last)
        {
            text += fmt::format("# TYPE {} counter\n", family);
            last = family;
        }
        text += fmt::format("{} {}\n", name, value);
    }
    for (const auto& [name, value] : m_summaries)
    {
        const auto samples = value.count();
        const double total = value.mean() * static_cast<double>(samples);
        text += fmt::format("# TYPE {0} summary\n{0}_sum {1}\n{0}_count {2}\n",
                            name, total, samples);
        text += fmt::format("# TYPE {0}_max gauge\n{0}_max {1}\n", name,
                            value.max());
    }
    return text;
}

} // namespace crowlink
