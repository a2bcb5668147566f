// The path of one packet through a balancer, without the socket: each step
// alone, all together, and a naive balancer that takes a hash modulo a list.

#include "crowlink/balancer.hpp"
#include "crowlink/packet.hpp"

#include "workload.hpp"

#include <benchmark/benchmark.h>
#include <sodium/crypto_shorthash.h>

namespace
{

using namespace crowlink;

using bytes = std::vector<std::uint8_t>;

// Today's and the target's number of services.
constexpr int today = 2;
constexpr int target = 9000;
const endpoint return_to{bench::address(10, 1), 7001};
const ip_in_udp_port tunnel(return_to, return_to);

// As callers send them: the reply direction, with the ends exchanged.
std::vector<bytes> packets(const std::vector<flow_key>& keys, std::size_t size)
{
    const bytes payload(size, std::uint8_t{0x5a});
    std::vector<bytes> all;
    for (const flow_key& key : keys)
    {
        bytes buffer(size + 100);
        const flow_key reversed{key.service, key.caller, key.protocol};
        const auto sent = tunnel.answer(reversed, payload, buffer);
        buffer.resize(sent->bytes.size());
        all.push_back(std::move(buffer));
    }
    return all;
}

// What the benchmarks vary.
struct setup
{
    std::uint32_t services;
    std::uint32_t members;
    std::size_t payload;
};

setup setup_of(const benchmark::State& state)
{
    return setup{static_cast<std::uint32_t>(state.range(0)),
                 static_cast<std::uint32_t>(state.range(1)),
                 static_cast<std::size_t>(state.range(2))};
}

std::shared_ptr<const forwarding_set> make_set(const setup& sizes)
{
    std::vector<service_view> views;
    for (std::uint32_t i = 0; i < sizes.services; ++i)
    {
        views.push_back(bench::view(i, sizes.members));
    }
    return forwarding_set::with_changes(forwarding_set::empty(), views, {});
}

// Every service has an earlier table that differs, as after a rolling restart
// of all upstreams.
std::shared_ptr<const forwarding_set> make_changed_set(const setup& sizes)
{
    std::vector<service_view> views;
    for (std::uint32_t i = 0; i < sizes.services; ++i)
    {
        views.push_back(bench::view(i, sizes.members));
        views.back().members[0].started = incarnation(2);
    }
    return forwarding_set::with_changes(make_set(sizes), views, {});
}

caller_packet parse(const bytes& packet)
{
    return *tunnel.parse(received_datagram{return_to, return_to, packet});
}

forward_datagram example(const flow_key& flow, const bytes& payload,
                         std::uint32_t members)
{
    const auto table = forwarding_table::build(bench::view(1, members));
    forward_datagram value;
    value.header.service = service_id(1);
    value.header.table = table->digest();
    value.header.flow = flow;
    value.header.current = table->chain(stable_hash(flow));
    value.header.return_to = return_to;
    value.payload = payload;
    return value;
}

void parse_ip_in_udp(benchmark::State& state)
{
    const auto all =
        packets(bench::flows(today), static_cast<std::size_t>(state.range(0)));
    std::size_t next = 0;
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(parse(all[next++ % all.size()]));
    }
}
BENCHMARK(parse_ip_in_udp)->Arg(64)->Arg(1400);

void look_up(benchmark::State& state)
{
    const setup sizes = setup_of(state);
    const auto set = make_set(sizes);
    const auto keys = bench::flows(sizes.services);
    std::size_t next = 0;
    for (auto _ : state)
    {
        const flow_key& key = keys[next++ % keys.size()];
        const auto* tables = set->tables_at(key.protocol, key.service);
        benchmark::DoNotOptimize(tables->current->chain(stable_hash(key)));
    }
}
BENCHMARK(look_up)->ArgsProduct({{today, target}, {3, 7}, {0}});

void encode(benchmark::State& state)
{
    const bytes payload(static_cast<std::size_t>(state.range(0)));
    const auto keys = bench::flows(1);
    auto value = example(keys[0], payload, 7);
    const datagram_codec codec(bench::keys());
    bytes buffer(4096);
    std::size_t next = 0;
    std::size_t size = 0;
    for (auto _ : state)
    {
        value.header.flow = keys[next++ % keys.size()];
        size = codec.encode(value, buffer);
        benchmark::DoNotOptimize(buffer.data());
        benchmark::ClobberMemory();
    }
    state.counters["added_bytes"] = double(size - payload.size());
}
BENCHMARK(encode)->Arg(64)->Arg(1400);

void decode(benchmark::State& state)
{
    const bytes payload(static_cast<std::size_t>(state.range(0)));
    const auto value = example(bench::flows(1)[0], payload, 7);
    const datagram_codec codec(bench::keys());
    bytes buffer(4096);
    buffer.resize(codec.encode(value, buffer));
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(codec.decode(buffer));
    }
}
BENCHMARK(decode)->Arg(64)->Arg(1400);

// The hash alone: of a header as it is sent, and of a whole large packet.
void authenticate(benchmark::State& state)
{
    const bytes data(static_cast<std::size_t>(state.range(0)), 3);
    const auto ring = bench::keys();
    std::array<std::uint8_t, crypto_shorthash_BYTES> hash{};
    for (auto _ : state)
    {
        crypto_shorthash(hash.data(), data.data(), data.size(),
                         ring.signing.bytes.data());
        benchmark::DoNotOptimize(hash);
    }
}
BENCHMARK(authenticate)->Arg(112)->Arg(1512);

void whole_path(benchmark::State& state,
                const std::shared_ptr<const forwarding_set>& set)
{
    const setup sizes = setup_of(state);
    const auto all = packets(bench::flows(sizes.services), sizes.payload);
    traffic_path path(bench::keys(), return_to);
    bytes buffer(4096);
    std::size_t next = 0;
    for (auto _ : state)
    {
        const caller_packet packet = parse(all[next++ % all.size()]);
        benchmark::DoNotOptimize(path.route(*set, packet, buffer));
        benchmark::ClobberMemory();
    }
    state.SetItemsProcessed(state.iterations());
}

void all_together(benchmark::State& state)
{
    whole_path(state, make_set(setup_of(state)));
}
BENCHMARK(all_together)->ArgsProduct({{today, target}, {3, 7}, {64, 1400}});

// What the egress scheduler adds on an idle host: to a packet of a class with
// a small or a large body, or of a route without terms.
void offer_on_idle_host(benchmark::State& state)
{
    const route_terms terms{state.range(0) == 2 ? request_class::upload
                                                : request_class::safe};
    const bytes packet(1400);
    egress_offer offer;
    offer.terms = state.range(0) == 0 ? nullptr : &terms;
    offer.role = packet_role::continues;
    offer.payload = packet;
    offer.bytes = packet;
    egress_scheduler scheduler(5.0);
    time_point now{};
    std::uint64_t next = 0;
    for (auto _ : state)
    {
        now += std::chrono::milliseconds(3);
        offer.flow = next++ % 64;
        benchmark::DoNotOptimize(scheduler.offer(now, offer));
    }
}
BENCHMARK(offer_on_idle_host)->Arg(0)->Arg(1)->Arg(2);

// One service with many members; the first argument is how many chains the
// traffic thread remembers.
void all_together_many_members(benchmark::State& state)
{
    const auto cached = static_cast<std::size_t>(state.range(0));
    const auto members = static_cast<std::uint32_t>(state.range(1));
    const auto set = make_set(setup{1, members, 0});
    const auto all = packets(bench::flows(1), 64);
    traffic_path path(bench::keys(), return_to, cached);
    bytes buffer(4096);
    std::size_t next = 0;
    for (const bytes& packet : all)
    {
        path.route(*set, parse(packet), buffer);
    }
    for (auto _ : state)
    {
        const caller_packet packet = parse(all[next++ % all.size()]);
        benchmark::DoNotOptimize(path.route(*set, packet, buffer));
        benchmark::ClobberMemory();
    }
}
BENCHMARK(all_together_many_members)
    ->ArgsProduct({{0, 16384, 131072}, {16, 32, 64, 512, 2000}});

void all_together_after_a_change(benchmark::State& state)
{
    whole_path(state, make_changed_set(setup_of(state)));
}
BENCHMARK(all_together_after_a_change)
    ->ArgsProduct({{today, target}, {3, 7}, {64}});

// A list of agents, and the flow's hash modulo its length.
using naive_list = std::vector<endpoint>;

std::vector<naive_list> naive_lists(const setup& sizes)
{
    std::vector<naive_list> lists(sizes.services);
    for (std::uint32_t service = 0; service < sizes.services; ++service)
    {
        const auto members = bench::view(service, sizes.members).members;
        for (const upstream_record& member : members)
        {
            lists[service].push_back(member.agent);
        }
    }
    return lists;
}

// The number of a service is part of its address here, which saves the naive
// version the search.
const endpoint& naive_choice(const std::vector<naive_list>& lists,
                             const flow_key& key)
{
    const auto& raw = key.service.address.bytes();
    const std::size_t service = raw[13] << 16U | raw[14] << 8U | raw[15];
    const naive_list& list = lists[service];
    return list[stable_hash(key) % list.size()];
}

void naive_look_up(benchmark::State& state)
{
    const setup sizes = setup_of(state);
    const auto lists = naive_lists(sizes);
    const auto keys = bench::flows(sizes.services);
    std::size_t next = 0;
    for (auto _ : state)
    {
        const flow_key& key = keys[next++ % keys.size()];
        benchmark::DoNotOptimize(naive_choice(lists, key));
    }
}
BENCHMARK(naive_look_up)->ArgsProduct({{today, target}, {3, 7}, {0}});

// Parses, chooses and copies the payload behind the flow key as it lies in
// memory: neither a chain nor a codec nor a hash.
void naive_all_together(benchmark::State& state)
{
    const setup sizes = setup_of(state);
    const auto lists = naive_lists(sizes);
    const auto all = packets(bench::flows(sizes.services), sizes.payload);
    bytes buffer(4096);
    std::size_t next = 0;
    for (auto _ : state)
    {
        const caller_packet packet = parse(all[next++ % all.size()]);
        benchmark::DoNotOptimize(naive_choice(lists, packet.flow));
        std::memcpy(buffer.data(), &packet.flow, sizeof packet.flow);
        std::copy(packet.payload.begin(), packet.payload.end(),
                  buffer.data() + sizeof packet.flow);
        benchmark::ClobberMemory();
    }
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(naive_all_together)
    ->ArgsProduct({{today, target}, {3, 7}, {64, 1400}});

} // namespace
