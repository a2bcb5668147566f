#include "crowlink/balancer.hpp"

#include "counting_allocator.hpp"

#include "crowlink/base/log_line.hpp"
#include "crowlink/base/metrics.hpp"
#include "crowlink/packet.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <set>

namespace crowlink
{
namespace
{

using bytes = std::vector<std::uint8_t>;

constexpr std::uint64_t seed = 20261202;

endpoint parse_endpoint(const std::string& text)
{
    return *endpoint::parse(text);
}

const endpoint service_address = parse_endpoint("192.0.2.1:53");
const endpoint return_to = parse_endpoint("10.0.0.1:7001");

key_ring keys()
{
    key_ring ring;
    ring.signing.bytes.fill(5);
    return ring;
}

service_view view(std::uint64_t version, std::uint32_t members)
{
    service_view value;
    value.version = config_version(version);
    value.declared.id = service_id(4);
    value.declared.addresses = {service_address};
    for (std::uint32_t i = 0; i < members; ++i)
    {
        upstream_record record;
        record.id = upstream_id(fmt::format("u{}", i));
        record.service = value.declared.id;
        record.agent = parse_endpoint(fmt::format("10.1.0.{}:7000", i + 1));
        value.members.push_back(record);
    }
    return value;
}

flow_key flow(std::uint32_t number)
{
    return flow_key{parse_endpoint(fmt::format(
                        "203.0.113.{}:{}", number % 250 + 1, 10000 + number)),
                    service_address, transport::udp};
}

// A balancer with its control plane and one traffic thread.
class test_balancer
{
public:
    test_balancer() : m_path(keys(), return_to) {}

    void apply(const service_view& value)
    {
        m_control.handle(time_point(), views_changed{{value}, {}});
    }

    // Returns the header that the agent receives, and the packet's destination.
    std::pair<packet_header, endpoint>
    route(const flow_key& key, packet_role role = packet_role::any)
    {
        const bytes payload{1, 2, 3};
        bytes buffer(1000);
        const auto sent = m_path.route(
            *m_control.snapshot(), caller_packet{key, role, payload}, buffer);
        const datagram_codec codec(keys());
        const auto value = codec.decode(std::span(buffer).first(sent->size));
        return {std::get<forward_datagram>(*value).header, sent->destination};
    }

    traffic_path& path() { return m_path; }
    const forwarding_set& set() const { return *m_control.snapshot(); }

private:
    balancer m_control;
    traffic_path m_path;
};

// A service with three upstreams of its own, to which the address leads or not.
service_view sharing_view(std::uint32_t id, std::uint64_t version,
                          bool has_address)
{
    service_view value;
    value.version = config_version(version);
    value.declared.id = service_id(id);
    if (has_address)
    {
        value.declared.shares = {address_share{service_address, 1}};
    }
    for (std::uint32_t i = 0; i < 3; ++i)
    {
        upstream_record record;
        record.id = upstream_id(fmt::format("u{}-{}", id, i));
        record.service = value.declared.id;
        record.agent =
            parse_endpoint(fmt::format("10.1.{}.{}:7000", id, i + 1));
        value.members.push_back(record);
    }
    return value;
}

// A flow that paused while its address moved twice was looked for at the second
// service alone, and reset.
TEST(traffic_path, names_the_heads_of_all_services_that_a_flow_may_be_at)
{
    test_balancer balancer;
    balancer.apply(sharing_view(1, 1, true));
    for (std::uint32_t id = 2; id <= 3; ++id)
    {
        balancer.apply(sharing_view(id - 1, id, false));
        balancer.apply(sharing_view(id, id, true));
    }
    for (std::uint32_t number = 0; number < 100; ++number)
    {
        const std::uint64_t hash = stable_hash(flow(number));
        const candidate_chain previous =
            balancer.route(flow(number)).first.previous;
        ASSERT_EQ(previous.size(), candidate_chain::capacity);
        for (std::uint32_t id = 1; id <= 2; ++id)
        {
            const candidate_chain of_service =
                balancer.set().find(service_id(id))->current->chain(hash);
            EXPECT_EQ(previous[2 - id], of_service[0]);
            EXPECT_EQ(previous[4 - id], of_service[1]);
        }
    }
}

// A balancer that started after a change does not know which service its
// address led to before: open flows were reset once the new service's agents
// had started anew, too.
TEST(traffic_path, names_services_without_an_address_to_flows_that_continue)
{
    test_balancer balancer;
    balancer.apply(sharing_view(1, 2, false));
    balancer.apply(sharing_view(2, 2, true));
    for (std::uint32_t number = 0; number < 20; ++number)
    {
        const std::uint64_t hash = stable_hash(flow(number));
        const candidate_chain former =
            balancer.set().find(service_id(1))->current->chain(hash);
        EXPECT_EQ(
            balancer.route(flow(number), packet_role::continues).first.previous,
            former);
        for (const packet_role role : {packet_role::opens, packet_role::any})
        {
            EXPECT_TRUE(
                balancer.route(flow(number), role).first.previous.empty());
        }
    }
}

// Guards against open flows that a balancer which has just started resets,
// since only others saw their address lead elsewhere.
TEST(traffic_path, names_the_former_services_that_control_publishes)
{
    test_balancer balancer;
    balancer.apply(sharing_view(1, 1, false));
    service_view changed = sharing_view(2, 1, true);
    changed.declared.shares[0].former = {service_id(1)};
    balancer.apply(changed);
    for (std::uint32_t number = 0; number < 20; ++number)
    {
        const std::uint64_t hash = stable_hash(flow(number));
        const packet_header sent = balancer.route(flow(number)).first;
        EXPECT_EQ(sent.service, service_id(2));
        EXPECT_EQ(sent.previous,
                  balancer.set().find(service_id(1))->current->chain(hash));
        EXPECT_FALSE(sent.omits_services);
    }
}

// Guards against flows of a service that is one too many for a packet: each
// packet names others, and says that it does not name all.
TEST(traffic_path, names_all_of_many_former_services_in_turn)
{
    constexpr std::uint32_t services = 11;
    test_balancer balancer;
    service_view changed = sharing_view(1, 1, true);
    for (std::uint32_t id = 2; id <= services; ++id)
    {
        service_view former = sharing_view(id, 1, false);
        former.declared.addresses = {
            parse_endpoint(fmt::format("192.0.2.{}:53", id))};
        balancer.apply(former);
        changed.declared.shares[0].former.emplace_back(id);
    }
    balancer.apply(changed);
    std::set<endpoint> named;
    for (std::uint32_t packet = 0; packet < services; ++packet)
    {
        const packet_header sent =
            balancer.route(flow(1), packet_role::continues).first;
        EXPECT_TRUE(sent.omits_services);
        for (const candidate& each : sent.previous)
        {
            named.insert(each.agent);
        }
    }
    EXPECT_EQ(named.size(), services - 1);
}

TEST(traffic_path, all_balancers_compute_the_same_chain_for_a_flow)
{
    std::mt19937_64 random(seed);
    std::vector<test_balancer> balancers(3);
    for (test_balancer& balancer : balancers)
    {
        balancer.apply(view(1, 7));
    }
    std::map<flow_key, candidate_chain> chains;
    for (int packet = 0; packet < 10000; ++packet)
    {
        if (packet == 5000)
        {
            // A balancer fails; its replacement receives the members in another
            // order.
            balancers.erase(balancers.begin());
            service_view shuffled = view(1, 7);
            std::reverse(shuffled.members.begin(), shuffled.members.end());
            balancers.emplace_back().apply(shuffled);
        }
        const flow_key key = flow(random() % 500);
        const auto [header, to] =
            balancers[random() % balancers.size()].route(key);
        ASSERT_EQ(header.flow, key);
        ASSERT_EQ(to, header.current[0].agent);
        ASSERT_TRUE(header.previous.empty());
        const auto known = chains.emplace(key, header.current).first;
        ASSERT_EQ(known->second, header.current);
    }
    EXPECT_EQ(chains.size(), 500U);
}

bool contains(const packet_header& header, const candidate& wanted)
{
    const auto is_wanted = [&wanted](const candidate& next)
    {
        return next == wanted;
    };
    return std::any_of(header.current.begin(), header.current.end(),
                       is_wanted) ||
           std::any_of(header.previous.begin(), header.previous.end(),
                       is_wanted);
}

TEST(
    traffic_path,
    the_previous_chain_contains_the_owner_while_balancers_have_different_tables)
{
    test_balancer outdated;
    test_balancer updated;
    outdated.apply(view(1, 4));
    updated.apply(view(1, 4));
    // The new table replaces every member of the old one.
    service_view changed = view(2, 8);
    changed.members.erase(changed.members.begin(), changed.members.begin() + 4);
    updated.apply(changed);
    for (std::uint32_t number = 0; number < 500; ++number)
    {
        const packet_header old = outdated.route(flow(number)).first;
        const packet_header next = updated.route(flow(number)).first;
        ASSERT_NE(old.table, next.table);
        ASSERT_FALSE(
            contains(outdated.route(flow(number)).first, next.current[0]));
        ASSERT_EQ(next.previous, old.current);
        ASSERT_TRUE(contains(next, old.current[0]));
    }
}

TEST(traffic_path, uses_the_previous_table_when_no_member_is_ready)
{
    test_balancer balancer;
    balancer.apply(view(1, 1));
    service_view drained = view(1, 1);
    drained.members[0].sequence = 2;
    drained.members[0].state = upstream_state::draining;
    balancer.apply(drained);
    const auto [header, to] = balancer.route(flow(1));
    EXPECT_TRUE(header.current.empty());
    EXPECT_EQ(to, drained.members[0].agent);
    EXPECT_EQ(explain(balancer.set(), flow(1)).reason,
              route_reason::previous_chain);
}

TEST(traffic_path, cached_chains_equal_those_of_the_tables)
{
    // Caches with few entries, many flows and two tables of a large service.
    balancer control;
    control.handle(time_point(), views_changed{{view(1, 60)}, {}});
    control.handle(time_point(), views_changed{{view(2, 50)}, {}});
    const table_pair& tables =
        *control.snapshot()->tables_at(transport::udp, service_address);
    EXPECT_EQ(chain_cache(100).memory(), 128U * 32U);
    std::mt19937_64 random(seed);
    for (const std::size_t capacity : {0U, 1U, 100U})
    {
        chain_cache cache(capacity);
        for (int round = 0; round < 2000; ++round)
        {
            const std::uint64_t hash = stable_hash(flow(random() % 300));
            ASSERT_EQ(cache.chain(*tables.current, hash),
                      tables.current->chain(hash));
            ASSERT_EQ(cache.chain(*tables.previous, hash),
                      tables.previous->chain(hash));
        }
    }
}

TEST(traffic_path, counts_drops_by_reason)
{
    test_balancer balancer;
    balancer.apply(view(1, 0));
    bytes buffer(1000);
    const auto route = [&](const flow_key& key, std::size_t size)
    {
        const caller_packet packet{key, packet_role::any, {}};
        return balancer.path().route(balancer.set(), packet,
                                     std::span(buffer).first(size));
    };
    flow_key other = flow(1);
    other.protocol = transport::tcp;
    EXPECT_EQ(route(other, 1000).error(), route_drop::no_service);
    EXPECT_EQ(route(flow(1), 1000).error(), route_drop::no_candidate);
    balancer.apply(view(2, 1));
    EXPECT_EQ(route(flow(1), 10).error(), route_drop::too_large);
    EXPECT_TRUE(route(flow(1), 1000).has_value());
    const auto& counts = balancer.path().counts();
    EXPECT_EQ(counts.route_drops,
              (std::array<std::uint64_t, route_drop_count>{1, 1, 1}));
    EXPECT_EQ(counts.forwarded, 1U);
    metrics target;
    add_to(target, counts);
    EXPECT_EQ(
        target.counter("crowlink_balancer_caller_dropped_no_service_total"),
        1U);
}

TEST(traffic_path, returns_answers_and_notices_and_counts_other_datagrams)
{
    test_balancer balancer;
    const datagram_codec codec(keys());
    bytes buffer(1000);
    const auto answer = [&](const datagram& value)
    {
        const std::size_t size = codec.encode(value, buffer);
        return balancer.path().answer(std::span(buffer).first(size));
    };
    const bytes payload{4, 5};
    const auto answered = answer(answer_datagram{flow(1), payload});
    ASSERT_TRUE(answered.has_value());
    EXPECT_EQ(std::get<answer_datagram>(*answered).flow, flow(1));
    notice_datagram notice;
    notice.flow = flow(2);
    EXPECT_EQ(std::get<notice_datagram>(*answer(notice)), notice);
    EXPECT_FALSE(answer(redirect_datagram{}).has_value());
    buffer[0] ^= 1U;
    EXPECT_FALSE(balancer.path().answer(buffer).has_value());
    const auto& counts = balancer.path().counts();
    EXPECT_EQ(counts.answers, 1U);
    EXPECT_EQ(counts.notices, 1U);
    EXPECT_EQ(counts.misdirected, 1U);
    EXPECT_EQ(counts.datagram_drops[static_cast<std::size_t>(
                  datagram_drop::unknown_version)],
              1U);
}

TEST(traffic_path, routing_and_decoding_do_not_allocate)
{
    test_balancer balancer;
    service_view weighted = view(1, 50);
    weighted.members[3].weight = 7;
    balancer.apply(weighted);
    balancer.apply(view(2, 8));
    const datagram_codec codec(keys());
    const bytes payload(1200, std::uint8_t{1});
    bytes buffer(2000);
    bytes from_agent(2000);
    from_agent.resize(
        codec.encode(answer_datagram{flow(1), payload}, from_agent));
    const flow_key key = flow(1);
    const datagram_port port;
    const std::uint64_t before = allocation_count();
    for (int i = 0; i < 100; ++i)
    {
        const auto packet =
            port.parse(received_datagram{key.caller, key.service, payload});
        const auto sent =
            balancer.path().route(balancer.set(), *packet, buffer);
        const auto header = codec.decode(std::span(buffer).first(sent->size));
        const auto answer = balancer.path().answer(from_agent);
        ASSERT_TRUE(header.has_value() && answer.has_value());
    }
    EXPECT_EQ(allocation_count(), before);
    const auto allocated = std::make_unique<int>(1);
    EXPECT_EQ(allocation_count(), before + 1);
}

TEST(explain, reports_the_destination_and_reason_of_route)
{
    test_balancer balancer;
    balancer.apply(view(1, 5));
    balancer.apply(view(2, 4));
    const auto [header, to] = balancer.route(flow(3));
    const route_decision decision = explain(balancer.set(), flow(3));
    EXPECT_EQ(decision.chosen.agent, to);
    EXPECT_EQ(decision.current, header.current);
    EXPECT_EQ(decision.previous, header.previous);
    EXPECT_EQ(decision.table, header.table);
    EXPECT_EQ(decision.reason, route_reason::head_of_chain);
    const std::string line =
        to_log_line(decision).render(log_format::key_value);
    EXPECT_NE(line.find("chosen=" + to.to_string()), std::string::npos);
    EXPECT_NE(line.find("reason=head_of_chain"), std::string::npos);
    EXPECT_EQ(explain(forwarding_set::empty().operator*(), flow(3)).reason,
              route_reason::no_service);
}

TEST(balancer, returns_a_set_only_when_something_changed)
{
    balancer control;
    const views_changed event{{view(3, 2)}, {}};
    const auto first = control.handle(time_point(), event);
    ASSERT_NE(first, nullptr);
    EXPECT_EQ(first, control.snapshot());
    EXPECT_EQ(control.handle(time_point(), event), nullptr);
    const views_changed older{{view(2, 5)},
                              {{service_id(4), config_version(2)}}};
    EXPECT_EQ(control.handle(time_point(), older), nullptr);
    EXPECT_EQ(control.snapshot(), first);
}

} // namespace
} // namespace crowlink
