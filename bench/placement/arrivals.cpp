#include "arrivals.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace crowlink::placement
{

namespace
{

// The time between checks of the arrival rate, which a surge changes.
constexpr double step_seconds = 0.1;

class lifetimes
{
public:
    explicit lifetimes(const experiment& settings)
        : m_least(settings.least_lifetime)
        , m_most(settings.most_lifetime)
        , m_tail(settings.tail)
    {
    }

    // Bounded Pareto by inversion.
    double draw(seeded_random& random) const
    {
        return invert(uniform(random), m_tail);
    }

    // What is left of the lifetime of a flow that is open at some moment: a
    // uniform part of a length-biased draw, which has a tail of one less.
    double draw_rest(seeded_random& random) const
    {
        const double whole = invert(uniform(random), m_tail - 1.0);
        return whole * uniform(random);
    }

    double mean() const
    {
        const double ratio = std::pow(m_least / m_most, m_tail);
        const double scale = std::pow(m_least, m_tail) / (1.0 - ratio);
        return scale * m_tail / (m_tail - 1.0) *
               (std::pow(m_least, 1.0 - m_tail) -
                std::pow(m_most, 1.0 - m_tail));
    }

private:
    static double uniform(seeded_random& random)
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(random);
    }

    double invert(double part, double tail) const
    {
        const double ratio = std::pow(m_least / m_most, tail);
        return m_least * std::pow(1.0 - part * (1.0 - ratio), -1.0 / tail);
    }

    double m_least;
    double m_most;
    double m_tail;
};

duration to_duration(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

double open_flows(const experiment& settings, const service_settings& of)
{
    return of.load * static_cast<double>(settings.connections) *
           static_cast<double>(of.upstreams);
}

// How far a surge has come, 0 to 1.
double surge_part(const surge& rush, double now)
{
    const double at = std::chrono::duration<double>(rush.at).count();
    const double ramp = std::chrono::duration<double>(rush.ramp).count();
    if (rush.share <= 0.0 || now < at)
    {
        return 0.0;
    }
    return ramp <= 0.0 ? 1.0 : std::min((now - at) / ramp, 1.0);
}

// New flows a second of a service.
double rate_at(const experiment& settings, const std::vector<double>& base,
               std::size_t service, double now)
{
    const double part = surge_part(settings.rush, now);
    double total = 0.0;
    for (const double rate : base)
    {
        total += rate;
    }
    const double peak_total = total * settings.rush.growth;
    double peak =
        base[service] / total * peak_total * (1.0 - settings.rush.share);
    if (service == settings.rush.service)
    {
        peak += settings.rush.share * peak_total;
    }
    return base[service] * (1.0 - part) + peak * part;
}

} // namespace

std::vector<arrival> draw_arrivals(const experiment& settings)
{
    seeded_random random(settings.seed);
    const lifetimes lives(settings);
    std::vector<arrival> all;
    std::vector<double> base;
    const double spread =
        std::chrono::duration<double>(settings.warm_up).count() / 10.0;
    for (std::size_t index = 0; index < settings.services.size(); ++index)
    {
        const double open = open_flows(settings, settings.services[index]);
        base.push_back(open / lives.mean());
        for (int flow = 0; flow < static_cast<int>(open); ++flow)
        {
            const double at =
                std::uniform_real_distribution<double>(0.0, spread)(random);
            all.push_back(
                {to_duration(at), index, to_duration(lives.draw_rest(random))});
        }
    }
    const double end = std::chrono::duration<double>(settings.length).count();
    for (double now = 0.0; now < end; now += step_seconds)
    {
        for (std::size_t index = 0; index < base.size(); ++index)
        {
            const double expected =
                rate_at(settings, base, index, now) * step_seconds;
            const int count = std::poisson_distribution<int>(expected)(random);
            for (int flow = 0; flow < count; ++flow)
            {
                const double at = now + std::uniform_real_distribution<double>(
                                            0.0, step_seconds)(random);
                all.push_back(
                    {to_duration(at), index, to_duration(lives.draw(random))});
            }
        }
    }
    std::stable_sort(all.begin(), all.end(),
                     [](const arrival& first, const arrival& second)
                     { return first.at < second.at; });
    return all;
}

} // namespace crowlink::placement
