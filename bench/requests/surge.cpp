// Offered load from one to ten times the capacity of seven upstreams: what
// callers with a retry budget and callers without thought send, get refused
// and get answered. Prints JSON; a run repeats from its seed.

#include "naive_caller.hpp"
#include "surge_world.hpp"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>

namespace crowlink::bench
{
namespace
{

constexpr std::uint64_t seed = 20261202;

double quantile(std::vector<double> values, double part)
{
    if (values.empty())
    {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(part * last)];
}

template <class Caller>
nlohmann::ordered_json measure(double load, std::size_t queue_limit)
{
    const surge_result result =
        surge_world<Caller>(load, seed, queue_limit).run();
    const auto fresh = static_cast<double>(result.fresh);
    return {{"fresh", result.fresh},
            {"sent_per_fresh", static_cast<double>(result.sent) / fresh},
            {"refused_percent",
             100.0 * static_cast<double>(result.refused) / fresh},
            {"unknown_percent",
             100.0 * static_cast<double>(result.unknown) / fresh},
            {"agent_refusals_per_fresh",
             static_cast<double>(result.agent_refusals) / fresh},
            {"answered_per_capacity",
             static_cast<double>(result.ran) / (capacity * surge_seconds)},
            {"answer_p50_ms", 1000 * quantile(result.answer_times, 0.5)},
            {"answer_p99_ms", 1000 * quantile(result.answer_times, 0.99)},
            {"refusal_p50_ms", 1000 * quantile(result.refusal_times, 0.5)},
            {"refusal_p99_ms", 1000 * quantile(result.refusal_times, 0.99)}};
}

} // namespace
} // namespace crowlink::bench

int main()
{
    using namespace crowlink;
    const std::size_t by_default = admission_settings().queue_limit;
    nlohmann::ordered_json out;
    for (const int load : {1, 2, 4, 7, 10})
    {
        nlohmann::ordered_json& of = out["load x" + std::to_string(load)];
        of["budget"] = bench::measure<request_caller>(load, by_default);
        of["naive"] = bench::measure<bench::naive_caller>(load, by_default);
    }
    for (const std::size_t limit : {4, 8, 16, 32, 64})
    {
        nlohmann::ordered_json& of =
            out["queue limit " + std::to_string(limit)];
        of["load x1"] = bench::measure<request_caller>(1, limit);
        of["load x4"] = bench::measure<request_caller>(4, limit);
    }
    std::puts(out.dump(2).c_str());
}
