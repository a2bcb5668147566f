// The state of a balancer at the size of the target: 9,000 addresses before
// 28,000 upstreams. What it takes, and what a change costs.

#include "crowlink/forwarding.hpp"

#include "workload.hpp"

#include <benchmark/benchmark.h>
#include <malloc.h>

namespace
{

using namespace crowlink;

constexpr std::uint32_t services = 9000;
constexpr std::uint32_t targets = 28000;

// Three or four members for each service, 28,000 in all.
std::vector<service_view> target_views()
{
    std::vector<service_view> views;
    for (std::uint32_t i = 0; i < services; ++i)
    {
        const std::uint32_t members =
            targets / services + (i < targets % services ? 1 : 0);
        views.push_back(bench::view(i, members));
    }
    return views;
}

std::size_t heap_in_use()
{
    return mallinfo2().uordblks;
}

// A service with the first member started anew.
service_view restarted(const service_view& view, std::uint64_t start)
{
    service_view next = view;
    next.members[0].started = incarnation(start);
    return next;
}

void set_build(benchmark::State& state)
{
    const auto views = target_views();
    std::size_t heap = 0;
    std::size_t counted = 0;
    for (auto _ : state)
    {
        const std::size_t before = heap_in_use();
        const auto set =
            forwarding_set::with_changes(forwarding_set::empty(), views, {});
        heap = heap_in_use() - before;
        counted = set->memory();
    }
    state.counters["heap_bytes"] = double(heap);
    state.counters["counted_bytes"] = double(counted);
    state.counters["heap_bytes_per_service"] = double(heap) / services;
    state.counters["heap_bytes_per_member"] = double(heap) / targets;
}
BENCHMARK(set_build)->Unit(benchmark::kMillisecond);

// After each service has changed once, so that all have a previous table.
void set_with_previous_tables(benchmark::State& state)
{
    const auto views = target_views();
    std::vector<service_view> changed;
    changed.reserve(views.size());
    for (const service_view& view : views)
    {
        changed.push_back(restarted(view, 2));
    }
    std::size_t heap = 0;
    for (auto _ : state)
    {
        const std::size_t before = heap_in_use();
        auto set =
            forwarding_set::with_changes(forwarding_set::empty(), views, {});
        set = forwarding_set::with_changes(set, changed, {});
        heap = heap_in_use() - before;
    }
    state.counters["heap_bytes"] = double(heap);
}
BENCHMARK(set_with_previous_tables)->Unit(benchmark::kMillisecond);

void change_of_one_member(benchmark::State& state)
{
    const auto views = target_views();
    auto set = forwarding_set::with_changes(forwarding_set::empty(), views, {});
    std::uint64_t start = 2;
    std::size_t next = 0;
    for (auto _ : state)
    {
        const auto view = restarted(views[next++ % views.size()], start++);
        set = forwarding_set::with_changes(set, std::span(&view, 1), {});
    }
}
BENCHMARK(change_of_one_member)->Unit(benchmark::kMicrosecond);

// A new service: the index of addresses is made again.
void change_of_addresses(benchmark::State& state)
{
    const auto set = forwarding_set::with_changes(forwarding_set::empty(),
                                                  target_views(), {});
    const auto added = bench::view(services, 3);
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(
            forwarding_set::with_changes(set, std::span(&added, 1), {}));
    }
}
BENCHMARK(change_of_addresses)->Unit(benchmark::kMicrosecond);

} // namespace
