#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace crowlink
{

// A running summary of a measured quantity: count, mean and maximum.
class summary
{
public:
    void add(double value) { m_values(value); }

    std::size_t count() const { return boost::accumulators::count(m_values); }
    double mean() const;
    double max() const;

private:
    using statistics =
        boost::accumulators::stats<boost::accumulators::tag::count,
                                   boost::accumulators::tag::mean,
                                   boost::accumulators::tag::max>;
    boost::accumulators::accumulator_set<double, statistics> m_values;
};

// The counters and summaries of one process or core, by name. Names are
// Prometheus metric names. Not thread-safe: each thread has its own.
class metrics
{
public:
    void count(std::string_view name, std::uint64_t by = 1);
    void observe(std::string_view name, double value);

    std::uint64_t counter(std::string_view name) const;

    // Adds the counters of others; summaries are left out.
    void add(const metrics& other);

    // Prometheus text exposition format, version 0.0.4.
    std::string render() const;

private:
    std::map<std::string, std::uint64_t, std::less<>> m_counters;
    std::map<std::string, summary, std::less<>> m_summaries;
};

} // namespace crowlink
