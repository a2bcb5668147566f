#pragma once

#include "report.hpp"

#include <algorithm>
#include <cstddef>
#include <span>

namespace crowlink::placement
{

// Averages the greatest load over the mean load of one service's upstreams.
class balance_meter
{
public:
    // One sample; the loads of all upstreams that are to be compared.
    void add(std::span<const double> loads)
    {
        double sum = 0.0;
        double most = 0.0;
        for (const double load : loads)
        {
            sum += load;
            most = std::max(most, load);
        }
        if (sum <= 0.0)
        {
            return;
        }
        const double ratio = most * static_cast<double>(loads.size()) / sum;
        m_sum += ratio;
        m_worst = std::max(m_worst, ratio);
        ++m_samples;
    }

    double mean() const
    {
        return m_samples == 0 ? 1.0 : m_sum / static_cast<double>(m_samples);
    }
    double worst() const { return m_worst; }

private:
    double m_sum = 0.0;
    double m_worst = 1.0;
    std::size_t m_samples = 0;
};

} // namespace crowlink::placement
