// What one agent costs: a packet of a known flow, a new flow, and a change of
// table. Run with --benchmark_format=json for JSON.

#include "bench_effects.hpp"

#include <algorithm>
#include <array>
#include <benchmark/benchmark.h>
#include <malloc.h>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace
{

using namespace crowlink;
using bench::bench_effects;
using namespace std::chrono_literals;

endpoint address(std::uint8_t group, std::size_t index)
{
    const std::array<std::uint8_t, 4> bytes{
        10, group, static_cast<std::uint8_t>(index >> 8U),
        static_cast<std::uint8_t>(index)};
    return endpoint{ip_address::from_v4(bytes), 4000};
}

upstream_record member(std::size_t index)
{
    upstream_record record;
    record.id = upstream_id("upstream-" + std::to_string(index));
    record.service = service_id(1);
    record.started = incarnation(1);
    record.agent = address(1, index);
    return record;
}

std::shared_ptr<service_view> view_of(std::size_t first, std::size_t count)
{
    auto view = std::make_shared<service_view>();
    view->declared.id = service_id(1);
    view->declared.limits.connections = 4'000'000;
    for (std::size_t i = first; i < first + count; ++i)
    {
        view->members.push_back(member(i));
    }
    std::sort(view->members.begin(), view->members.end(),
              [](const upstream_record& one, const upstream_record& two)
              { return one.id < two.id; });
    return view;
}

flow_key flow(std::size_t number)
{
    return flow_key{
        endpoint{address(static_cast<std::uint8_t>(100 + (number >> 30U)),
                         number >> 14U)
                     .address,
                 static_cast<std::uint16_t>(1024 + (number & 0x3fffU))},
        address(2, 1), transport::udp};
}

// An agent with open flows; its packets name it as the only candidate.
class loaded_agent
{
public:
    loaded_agent(std::size_t flows, std::size_t members)
        : m_view(view_of(0, members))
    {
        agent_settings settings;
        settings.self = member(0);
        m_header.service = service_id(1);
        m_header.current.push_back(
            candidate{settings.self.agent,
                      tag_of(settings.self.id, settings.self.started)});
        m_header.return_to = address(3, 1);
        m_core = std::make_unique<agent>(settings, m_now);
        handle(view_changed{m_view});
        settle();
        m_header.table = forwarding_table::build(*m_view)->digest();
        for (std::size_t i = 0; i < flows; ++i)
        {
            call(i);
        }
    }

    void call(std::size_t number)
    {
        m_header.flow = flow(number);
        handle(packet_arrived{m_header, {}, answer_need::none});
    }

    template <class Event>
    void handle(const Event& event)
    {
        m_core->handle(m_now, event, m_effects);
    }

    void settle()
    {
        m_now += 11s;
        handle(tick{});
    }
    void pass(duration time) { m_now += time; }

    agent& core() { return *m_core; }
    bench_effects& effects() { return m_effects; }

private:
    time_point m_now{std::chrono::hours(1)};
    std::shared_ptr<const service_view> m_view;
    packet_header m_header;
    bench_effects m_effects;
    std::unique_ptr<agent> m_core;
};

std::vector<std::size_t> shuffled(std::size_t count)
{
    std::vector<std::size_t> order(count);
    for (std::size_t i = 0; i < count; ++i)
    {
        order[i] = i;
    }
    std::shuffle(order.begin(), order.end(), std::mt19937_64(1));
    return order;
}

std::size_t used_bytes()
{
    return mallinfo2().uordblks;
}

void known_flow(benchmark::State& state)
{
    const auto flows = static_cast<std::size_t>(state.range(0));
    const std::size_t before = used_bytes();
    loaded_agent one(flows, 7);
    const std::size_t after = used_bytes();
    const auto order = shuffled(flows);
    std::size_t next = 0;
    for (auto _ : state)
    {
        one.call(order[next]);
        next = next + 1 == flows ? 0 : next + 1;
    }
    state.counters["bytes_per_flow"] =
        static_cast<double>(after - before) / static_cast<double>(flows);
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(known_flow)->Arg(10'000)->Arg(100'000)->Arg(1'000'000);

// The baseline of the same run: nothing but a look-up of the key.
void map_look_up(benchmark::State& state)
{
    const auto flows = static_cast<std::size_t>(state.range(0));
    std::unordered_map<flow_key, std::uint64_t> map;
    map.reserve(flows);
    for (std::size_t i = 0; i < flows; ++i)
    {
        map.emplace(flow(i), i);
    }
    const auto order = shuffled(flows);
    std::size_t next = 0;
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(map.find(flow(order[next])));
        next = next + 1 == flows ? 0 : next + 1;
    }
}
BENCHMARK(map_look_up)->Arg(10'000)->Arg(100'000)->Arg(1'000'000);

void new_flow(benchmark::State& state)
{
    loaded_agent one(0, 7);
    std::size_t next = 0;
    for (auto _ : state)
    {
        one.call(next++);
        if (next % 100'000 == 0)
        {
            state.PauseTiming();
            one.handle(upstream_failed{});
            state.ResumeTiming();
        }
    }
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(new_flow)->Iterations(1'000'000);

// All flows are checked against a new table, over as many ticks as that takes;
// the upstream has left it, so that each flow is displaced.
void table_change(benchmark::State& state)
{
    const auto flows = static_cast<std::size_t>(state.range(0));
    const auto members = static_cast<std::size_t>(state.range(1));
    std::uint64_t ticks = 0;
    std::uint64_t changes = 0;
    std::uint64_t redirects = 0;
    std::uint64_t messages = 0;
    for (auto _ : state)
    {
        state.PauseTiming();
        loaded_agent one(flows, members);
        one.effects() = bench_effects();
        const auto next = view_of(1, members);
        state.ResumeTiming();
        one.handle(view_changed{next});
        while (one.effects().redirects < 2 * flows)
        {
            one.pass(50ms);
            one.handle(tick{});
            ++ticks;
        }
        state.PauseTiming();
        ++changes;
        redirects += one.effects().redirects;
        messages += one.effects().sent;
        state.ResumeTiming();
    }
    const auto per_change = [changes](std::uint64_t total)
    {
        return static_cast<double>(total) / static_cast<double>(changes);
    };
    state.counters["ticks"] = per_change(ticks);
    state.counters["redirects"] = per_change(redirects);
    state.counters["messages"] = per_change(messages);
}
BENCHMARK(table_change)
    ->Args({1'000, 7})
    ->Args({16'000, 7})
    ->Args({1'000, 112})
    ->Args({16'000, 112})
    ->Args({1'000, 1'000})
    ->Args({4'640, 7})
    ->Iterations(3)
    ->Unit(benchmark::kMillisecond);

} // namespace
