// Compares the orders of starting queued requests: an upstream of 4 slots, two
// kinds, and one of them in a surge or in bursts. Prints JSON; a run repeats
// from its seed.

#include "crowlink/base/random.hpp"
#include "crowlink/base/time.hpp"
#include "crowlink/requests/fair_order.hpp"
#include "crowlink/requests/work_queue.hpp"
#include "queue_orders.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace crowlink::bench
{
namespace
{

constexpr std::size_t slot_count = 4;
constexpr std::size_t queue_limit = 64;
constexpr double run_seconds = 60;
constexpr std::uint64_t first_seed = 1;
constexpr std::uint64_t seed_count = 5;
constexpr std::size_t kind_count = 2;

// How requests of one kind arrive: `burst` at a time.
struct arrivals
{
    std::uint32_t weight = 1;
    double mean_run = 0.01;
    double rate = 100;
    int burst = 1;
};

struct scenario
{
    std::string name;
    std::array<arrivals, kind_count> kinds;
};

// The second kind is the one that must not starve: a quarter of capacity.
const std::vector<scenario> scenarios = {
    {"steady, 0.7 of capacity", {{{1, 0.01, 180, 1}, {3, 0.03, 33, 1}}}},
    {"surge of light requests, 10 times capacity",
     {{{1, 0.01, 4000, 1}, {3, 0.03, 33, 1}}}},
    {"surge of heavy requests, 10 times capacity",
     {{{3, 0.03, 1333, 1}, {1, 0.01, 100, 1}}}},
    {"bursts of 50 light requests, 0.5 of capacity",
     {{{1, 0.01, 4, 50}, {3, 0.03, 33, 1}}}},
};

struct kind_result
{
    std::uint64_t arrived = 0;
    std::uint64_t shed = 0;
    std::vector<double> waits;

    double wait_quantile(double part)
    {
        if (waits.empty())
        {
            return 0;
        }
        std::sort(waits.begin(), waits.end());
        const auto last = static_cast<double>(waits.size() - 1);
        return waits[static_cast<std::size_t>(part * last)];
    }
};

using results = std::array<kind_result, kind_count>;

template <class Order>
class experiment
{
public:
    experiment(const scenario& of, std::uint64_t seed)
        : m_scenario(of), m_random(seed), m_queue(kind_count, queue_limit)
    {
    }

    void run(results& into)
    {
        for (kind_index kind = 0; kind < kind_count; ++kind)
        {
            schedule_arrival(kind);
        }
        while (!m_events.empty() && m_now < run_seconds)
        {
            const auto event = *m_events.begin();
            m_events.erase(m_events.begin());
            m_now = event.first;
            if (event.second < kind_count)
            {
                arrive(event.second, into);
            }
            else
            {
                --m_running;
            }
            start_what_can(into);
        }
    }

private:
    double exponential(double mean)
    {
        return std::exponential_distribution<double>(1 / mean)(m_random);
    }

    void schedule_arrival(kind_index kind)
    {
        const double gap = exponential(1 / m_scenario.kinds[kind].rate);
        m_events.emplace(m_now + gap, kind);
    }

    void arrive(kind_index kind, results& into)
    {
        const arrivals& of = m_scenario.kinds[kind];
        for (int index = 0; index < of.burst; ++index)
        {
            ++into[kind].arrived;
            m_arrived.emplace(++m_last_job, m_now);
            const auto shed = m_queue.push({m_last_job, kind, of.weight, 0});
            if (shed)
            {
                ++into[shed->kind].shed;
                m_arrived.erase(shed->job);
            }
        }
        schedule_arrival(kind);
    }

    void start_what_can(results& into)
    {
        while (m_running < slot_count)
        {
            const auto next = m_queue.pop();
            if (!next)
            {
                return;
            }
            ++m_running;
            into[next->kind].waits.push_back(m_now - m_arrived.at(next->job));
            m_arrived.erase(next->job);
            const double length =
                exponential(m_scenario.kinds[next->kind].mean_run);
            m_events.emplace(m_now + length, ended);
        }
    }

    static constexpr kind_index ended = kind_count;

    const scenario& m_scenario;
    seeded_random m_random;
    work_queue<Order> m_queue;
    std::multimap<double, kind_index> m_events;
    std::map<std::uint64_t, double> m_arrived;
    std::uint64_t m_last_job = 0;
    std::size_t m_running = 0;
    double m_now = 0;
};

template <class Order>
nlohmann::ordered_json measure(const scenario& of)
{
    results total;
    for (std::uint64_t seed = first_seed; seed < first_seed + seed_count;
         ++seed)
    {
        experiment<Order>(of, seed).run(total);
    }
    nlohmann::ordered_json out;
    const std::array<std::string, kind_count> names = {"surging", "other"};
    double started_weight = 0;
    for (kind_index kind = 0; kind < kind_count; ++kind)
    {
        kind_result& each = total[kind];
        started_weight +=
            static_cast<double>(each.waits.size()) * of.kinds[kind].weight;
        out[names[kind]] = {
            {"shed_percent", 100.0 * static_cast<double>(each.shed) /
                                 static_cast<double>(each.arrived)},
            {"wait_p50_ms", 1000 * each.wait_quantile(0.5)},
            {"wait_p99_ms", 1000 * each.wait_quantile(0.99)}};
    }
    for (kind_index kind = 0; kind < kind_count; ++kind)
    {
        out[names[kind]]["share_of_started_weight"] =
            static_cast<double>(total[kind].waits.size()) *
            of.kinds[kind].weight / started_weight;
    }
    return out;
}

} // namespace
} // namespace crowlink::bench

int main()
{
    using namespace crowlink;
    nlohmann::ordered_json out;
    for (const bench::scenario& each : bench::scenarios)
    {
        nlohmann::ordered_json& of = out[each.name];
        of["arrival_order"] = bench::measure<bench::arrival_order>(each);
        of["campaign_order"] = bench::measure<bench::campaign_order>(each);
        of["fair_order"] = bench::measure<fair_order>(each);
    }
    std::puts(out.dump(2).c_str());
}
