// The cost of reading, writing and comparing a document against its number of
// services. The baseline is the JSON library's bare parse of the same text.

#include "crowlink/document.hpp"

#include <benchmark/benchmark.h>
#include <nlohmann/json.hpp>
#include <string>

namespace crowlink
{
namespace
{

system_document document_of(std::int64_t services)
{
    system_document document;
    document.places = {{place_id("quezon"), region_id("NCR")}};
    for (std::int64_t at = 1; at <= services; ++at)
    {
        const auto number = static_cast<std::uint32_t>(at);
        service declared;
        declared.id = service_id(number);
        declared.name = "service" + std::to_string(number);
        auto address = endpoint::parse("10.0.0.1:80").value();
        constexpr std::uint32_t first_port = 1024;
        address.port = static_cast<std::uint16_t>(first_port + number);
        declared.addresses = {address};
        declared.kinds = {{"browse", 1, true}, {"reserve", 2, false}};
        document.services.push_back(declared);
    }
    return document;
}

void bare_parse(benchmark::State& state)
{
    const auto text = write_document(document_of(state.range(0)));
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(nlohmann::json::parse(text));
    }
    state.counters["bytes"] = static_cast<double>(text.size());
}

void read(benchmark::State& state)
{
    const auto text = write_document(document_of(state.range(0)));
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(read_document(text));
    }
}

// Where the schema was checked before: 11.7 ms for 512 services with it.
void read_committed(benchmark::State& state)
{
    const auto text = write_document(document_of(state.range(0)));
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(read_committed_document(text));
    }
}

void write(benchmark::State& state)
{
    const auto document = document_of(state.range(0));
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(write_document(document));
    }
}

void difference(benchmark::State& state)
{
    const auto before = document_of(state.range(0));
    auto after = before;
    after.services.back().limits.slots = 9;
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(compare(before, after));
    }
}

constexpr std::int64_t least = 16;
constexpr std::int64_t most = 8192;
constexpr int step = 8;

BENCHMARK(bare_parse)->RangeMultiplier(step)->Range(least, most);
BENCHMARK(read)->RangeMultiplier(step)->Range(least, most);
BENCHMARK(read_committed)->RangeMultiplier(step)->Range(least, most);
BENCHMARK(write)->RangeMultiplier(step)->Range(least, most);
BENCHMARK(difference)->RangeMultiplier(step)->Range(least, most);

} // namespace
} // namespace crowlink
