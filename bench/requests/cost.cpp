// What one request costs at an agent, beside its messages' codec alone as the
// baseline, and what a session and a remembered request take in memory.
// Prints JSON with --benchmark_format=json.

#include "crowlink/requests.hpp"
#include "crowlink/requests/at_most_once.hpp"

#include <benchmark/benchmark.h>
#include <malloc.h>

namespace crowlink
{
namespace
{

constexpr std::size_t body_size = 200;
constexpr std::size_t many_sessions = 100000;

request_part part_of_session(const ticket& under, std::uint64_t sequence)
{
    return {{1, sequence},
            1,
            under,
            sequence,
            sequence,
            "read",
            true,
            std::chrono::seconds(1),
            0,
            1,
            std::string(body_size, 'b')};
}

void codec_alone(benchmark::State& state)
{
    const request_part part = part_of_session(ticket(), 1);
    const std::string request = encode(caller_message(part));
    const std::string ran = encode(upstream_answer{
        {incarnation(1), 1}, verdict::ran, {}, std::string(body_size, 'a')});
    const upstream_run run{
        {incarnation(1), 1}, "read", std::chrono::seconds(1), part.body};
    const answer_part answer{{1, 1},
                             1,
                             verdict::ran,
                             answer_reason::answered,
                             {},
                             0,
                             1,
                             std::string(body_size, 'a')};
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(decode_caller_message(request));
        benchmark::DoNotOptimize(encode(upstream_command(run)));
        benchmark::DoNotOptimize(decode_upstream_answer(ran));
        benchmark::DoNotOptimize(encode(agent_message(answer)));
    }
}
BENCHMARK(codec_alone);

// An agent with many open sessions, which take turns.
void request_through_admission(benchmark::State& state)
{
    const auto sessions = static_cast<std::size_t>(state.range(0));
    admission_settings settings;
    settings.kinds = {{"read", 1, true}};
    settings.memory.sessions = sessions;
    request_admission agent(settings, incarnation(1));
    admission_effects effects;
    time_point now{};
    std::vector<ticket> tickets;
    for (std::size_t index = 0; index < sessions; ++index)
    {
        agent.handle_datagram(now, {}, encode(open_session{index}), effects);
        tickets.push_back({incarnation(1), index + 1, index});
    }
    std::vector<std::string> requests;
    std::uint64_t sequence = 0;
    std::uint64_t run = 0;
    std::size_t turn = 0;
    for (auto _ : state)
    {
        if (turn % sessions == 0)
        {
            state.PauseTiming();
            ++sequence;
            requests.clear();
            for (const ticket& under : tickets)
            {
                requests.push_back(
                    encode(caller_message(part_of_session(under, sequence))));
            }
            state.ResumeTiming();
        }
        effects = {};
        now += std::chrono::microseconds(10);
        agent.handle_datagram(now, {}, requests[turn++ % sessions], effects);
        const upstream_answer ran{{incarnation(1), ++run},
                                  verdict::ran,
                                  {},
                                  std::string(body_size, 'a')};
        agent.handle_upstream(now, encode(ran), effects);
    }
    if (agent.counts().ended != run)
    {
        state.SkipWithError("not every request ran");
    }
}
BENCHMARK(request_through_admission)->Arg(100)->Arg(10000);

void memory_per_session(benchmark::State& state)
{
    double bytes = 0;
    double remembered = 0;
    for (auto _ : state)
    {
        memory_limits limits;
        limits.sessions = many_sessions;
        at_most_once memory(incarnation(1), limits);
        const std::size_t before = mallinfo2().uordblks;
        for (std::size_t index = 0; index < many_sessions; ++index)
        {
            memory.open(time_point(), index);
        }
        const std::size_t opened = mallinfo2().uordblks;
        for (std::size_t index = 0; index < many_sessions; ++index)
        {
            memory.look_up(time_point(), {incarnation(1), index + 1, index}, 1,
                           0);
            memory.finish(
                index + 1, 1,
                {verdict::not_run, answer_reason::overloaded, {}, {}});
        }
        bytes = static_cast<double>(opened - before) / many_sessions;
        remembered =
            static_cast<double>(mallinfo2().uordblks - opened) / many_sessions;
    }
    state.counters["bytes_a_session"] = bytes;
    state.counters["bytes_a_remembered_request"] = remembered;
}
BENCHMARK(memory_per_session)->Iterations(1);

} // namespace
} // namespace crowlink

BENCHMARK_MAIN();
