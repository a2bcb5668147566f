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

service_view make_view(const benchmark::State& state, bool weighted = false)
{
    const auto members = static_cast<std::uint32_t>(state.range(0));
    return bench::view(1, members, weighted);
}

service_view without_first(const service_view& view)
{
    service_view smaller = view;
    smaller.members.erase(smaller.members.begin());
    return smaller;
}

// The ways, behind one interface.
class rendezvous
{
public:
    explicit rendezvous(const service_view& view)
        : m_table(forwarding_table::build(view))
    {
    }

    candidate_chain look_up(std::uint64_t hash) const
    {
        return m_table->chain(hash);
    }
    candidate head(std::uint64_t hash) const { return m_table->chain(hash)[0]; }
    std::size_t memory() const { return m_table->memory(); }

private:
    std::shared_ptr<const forwarding_table> m_table;
};

class slots
{
public:
    explicit slots(const service_view& view)
        : m_table(*forwarding_table::build(view), bench::candidates(view),
                  slot_count)
    {
    }

    candidate_chain look_up(std::uint64_t hash) const
    {
        return m_table.chain(hash);
    }
    candidate head(std::uint64_t hash) const { return m_table.chain(hash)[0]; }
    std::size_t memory() const { return m_table.memory(); }

private:
    bench::slot_table m_table;
};

class maglev
{
public:
    explicit maglev(const service_view& view)
        : m_table(bench::candidates(view), maglev_slots)
    {
    }

    const candidate& look_up(std::uint64_t hash) const
    {
        return m_table.choose(hash);
    }
    candidate head(std::uint64_t hash) const { return m_table.choose(hash); }
    std::size_t memory() const { return m_table.memory(); }

private:
    bench::maglev_table m_table;
};

template <class Way>
void run_look_ups(benchmark::State& state, const Way& way)
{
    const hashes values = flow_hashes(bench::flow_count);
    std::size_t next = 0;
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(way.look_up(values[next++ % values.size()]));
    }
    state.counters["bytes"] = double(way.memory());
}

template <class Way>
void choose(benchmark::State& state)
{
    run_look_ups(state, Way(make_view(state)));
}

void choose_weighted(benchmark::State& state)
{
    run_look_ups(state, rendezvous(make_view(state, true)));
}

// The largest share of flows over the mean share, and the flows that move
// although their member stays when the first member leaves, over all flows.
template <class Way>
void shares(benchmark::State& state)
{
    constexpr std::size_t flows_per_member = 1000;
    const service_view view = make_view(state);
    const candidate gone = bench::candidates(view)[0];
    const Way before(view);
    const Way after(without_first(view));
    const hashes values = flow_hashes(flows_per_member * view.members.size());
    std::map<candidate, std::size_t> share;
    std::size_t moved = 0;
    for (auto _ : state)
    {
        for (const std::uint64_t hash : values)
        {
            const candidate old = before.head(hash);
            ++share[old];
            moved += old != gone && after.head(hash) != old ? 1 : 0;
        }
    }
    std::size_t most = 0;
    for (const auto& [member, count] : share)
    {
        most = std::max(most, count);
    }
    state.counters["max_over_mean"] = double(most) / flows_per_member;
    state.counters["moved_needlessly"] = double(moved) / double(values.size());
}

template <class Way>
void build(benchmark::State& state)
{
    const service_view view = make_view(state);
    for (auto _ : state)
    {
        const Way way(view);
        benchmark::DoNotOptimize(&way);
    }
}

void sizes(benchmark::internal::Benchmark* to)
{
    for (const int members : {3, 7, 16, 32, 64, 128, 512, 2000})
    {
        to->Arg(members);
    }
}

void share_sizes(benchmark::internal::Benchmark* to)
{
    to->Iterations(1)->Unit(benchmark::kMillisecond);
    for (const int members : {7, 32, 128, 512})
    {
        to->Arg(members);
    }
}

BENCHMARK_TEMPLATE(choose, rendezvous)->Apply(sizes);
BENCHMARK(choose_weighted)->Apply(sizes);
BENCHMARK_TEMPLATE(choose, slots)->Apply(sizes);
BENCHMARK_TEMPLATE(choose, maglev)->Apply(sizes);
BENCHMARK_TEMPLATE(shares, rendezvous)->Apply(share_sizes);
BENCHMARK_TEMPLATE(shares, slots)->Apply(share_sizes);
BENCHMARK_TEMPLATE(shares, maglev)->Apply(share_sizes);
BENCHMARK_TEMPLATE(build, rendezvous)->Apply(sizes);
BENCHMARK_TEMPLATE(build, slots)->Apply(sizes);
BENCHMARK_TEMPLATE(build, maglev)->Apply(sizes);

} // namespace
