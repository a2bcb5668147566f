// Ways to find a flow's candidates, at several numbers of members: the cost of
// a look-up and of a change, how evenly flows are shared, and how many move.

#include "crowlink/forwarding.hpp"

#include "maglev_table.hpp"
#include "slot_table.hpp"
#include "workload.hpp"

#include <benchmark/benchmark.h>
#include <map>

namespace
{

using namespace crowlink;

using hashes = std::vector<std::uint64_t>;

constexpr std::size_t slot_count = 65536;
constexpr std::size_t maglev_slots = 65537;

hashes flow_hashes(std::size_t count)
{
    std::mt19937_64 random(bench::seed);
    hashes values(count);
    std::generate(values.begin(), values.end(), std::ref(random));
    return values;
}

std::shared_ptr<const forwarding_table>
make_table(const benchmark::State& state, bool weighted)
{
    return forwarding_table::build(
        bench::view(1, static_cast<std::uint32_t>(state.range(0)), weighted));
}

// The table without its first member.
std::shared_ptr<const forwarding_table>
make_smaller(const benchmark::State& state)
{
    auto view =
        bench::view(1, static_cast<std::uint32_t>(state.range(0)), false);
    view.members.erase(view.members.begin());
    return forwarding_table::build(view);
}

template <class Choose>
void look_up_all(benchmark::State& state, const Choose& choose)
{
    const hashes values = flow_hashes(bench::flow_count);
    std::size_t next = 0;
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(choose(values[next++ % values.size()]));
    }
}

// The largest share of flows over the mean share, and the flows that moved
// although their member stayed, when the first member leaves.
template <class Before, class After>
void report_shares(benchmark::State& state, const Before& before,
                   const After& after, const candidate& gone)
{
    constexpr std::size_t flows_per_member = 2000;
    const auto members = static_cast<std::size_t>(state.range(0));
    const hashes values = flow_hashes(flows_per_member * members);
    std::map<candidate, std::size_t> share;
    std::size_t moved = 0;
    for (const std::uint64_t hash : values)
    {
        const candidate old = before(hash);
        ++share[old];
        moved += old != gone && after(hash) != old ? 1 : 0;
    }
    std::size_t most = 0;
    for (const auto& [member, count] : share)
    {
        most = std::max(most, count);
    }
    state.counters["max_over_mean"] = double(most) / flows_per_member;
    state.counters["moved_needlessly"] = double(moved) / double(values.size());
}

void rendezvous_chain(benchmark::State& state)
{
    const auto table = make_table(state, false);
    const auto smaller = make_smaller(state);
    look_up_all(state, [&](std::uint64_t hash) { return table->chain(hash); });
    report_shares(
        state, [&](std::uint64_t hash) { return table->chain(hash)[0]; },
        [&](std::uint64_t hash) { return smaller->chain(hash)[0]; },
        table->members()[0]);
    state.counters["bytes"] = double(table->memory());
}

void weighted_rendezvous_chain(benchmark::State& state)
{
    const auto table = make_table(state, true);
    look_up_all(state, [&](std::uint64_t hash) { return table->chain(hash); });
    state.counters["bytes"] = double(table->memory());
}

void slot_table_chain(benchmark::State& state)
{
    const auto table = make_table(state, false);
    const auto smaller = make_smaller(state);
    const bench::slot_table slots(*table, slot_count);
    const bench::slot_table fewer(*smaller, slot_count);
    look_up_all(state, [&](std::uint64_t hash) { return slots.chain(hash); });
    report_shares(
        state, [&](std::uint64_t hash) { return slots.chain(hash)[0]; },
        [&](std::uint64_t hash) { return fewer.chain(hash)[0]; },
        table->members()[0]);
    state.counters["bytes"] = double(slots.memory());
}

void maglev_choice(benchmark::State& state)
{
    const auto table = make_table(state, false);
    const auto smaller = make_smaller(state);
    const bench::maglev_table slots(*table, maglev_slots);
    const bench::maglev_table fewer(*smaller, maglev_slots);
    look_up_all(state, [&](std::uint64_t hash) { return slots.choose(hash); });
    report_shares(
        state, [&](std::uint64_t hash) { return slots.choose(hash); },
        [&](std::uint64_t hash) { return fewer.choose(hash); },
        table->members()[0]);
}

void rendezvous_build(benchmark::State& state)
{
    const auto view =
        bench::view(1, static_cast<std::uint32_t>(state.range(0)), false);
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(forwarding_table::build(view));
    }
}

void slot_table_build(benchmark::State& state)
{
    const auto table = make_table(state, false);
    for (auto _ : state)
    {
        const bench::slot_table slots(*table, slot_count);
        benchmark::DoNotOptimize(&slots);
    }
}

void maglev_build(benchmark::State& state)
{
    const auto table = make_table(state, false);
    for (auto _ : state)
    {
        const bench::maglev_table slots(*table, maglev_slots);
        benchmark::DoNotOptimize(&slots);
    }
}

void sizes(benchmark::internal::Benchmark* to)
{
    for (const int members : {3, 7, 16, 32, 64, 128, 256, 512, 2000})
    {
        to->Arg(members);
    }
}

BENCHMARK(rendezvous_chain)->Apply(sizes);
BENCHMARK(weighted_rendezvous_chain)->Apply(sizes);
BENCHMARK(slot_table_chain)->Apply(sizes);
BENCHMARK(maglev_choice)->Apply(sizes);
BENCHMARK(rendezvous_build)->Apply(sizes);
BENCHMARK(slot_table_build)->Apply(sizes)->Unit(benchmark::kMillisecond);
BENCHMARK(maglev_build)->Apply(sizes)->Unit(benchmark::kMillisecond);

} // namespace
