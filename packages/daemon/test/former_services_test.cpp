#include "control/document_routes.hpp"
#include "process/running_daemon.hpp"

#include "crowlink/forwarding.hpp"
#include "crowlink/membership.hpp"
#include "crowlink/replication/document_store.hpp"

#include <array>
#include <cstdlib>
#include <filesystem>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <thread>

// Where an address led before, from the log to the tables of a balancer.
namespace crowlink::internal
{
namespace
{

constexpr std::chrono::milliseconds patience(20);
constexpr int most_tries = 1500;

const endpoint any_port = *endpoint::parse("127.0.0.1:0");
const endpoint split_address = *endpoint::parse("198.51.100.1:443");
const endpoint other_address = *endpoint::parse("198.51.100.2:443");

using weights = std::vector<std::uint32_t>;

service declared(std::uint32_t number)
{
    service made;
    made.id = service_id(number);
    made.name = "s" + std::to_string(number);
    return made;
}

// A route that leads to services 1, 2 and so on by these weights.
route split_route(const endpoint& address, const weights& parts)
{
    route made;
    made.name = "to " + address.to_string();
    made.address = address;
    for (std::uint32_t at = 0; at < parts.size(); ++at)
    {
        if (parts[at] > 0)
        {
            made.shares.push_back(route_share{service_id(at + 1), parts[at]});
        }
    }
    return made;
}

// Service 1 has another route, so that it never is without an address.
system_document split_document(const weights& parts)
{
    system_document document;
    document.places = {place{place_id("p"), region_id("r")}};
    for (std::uint32_t at = 0; at < parts.size(); ++at)
    {
        document.services.push_back(declared(at + 1));
    }
    document.routes = {split_route(split_address, parts),
                       split_route(other_address, {1})};
    return document;
}

flow_key split_flow(std::uint32_t number)
{
    const std::array<std::uint8_t, 4> bytes{
        203, 0, static_cast<std::uint8_t>(number >> 8U),
        static_cast<std::uint8_t>(number)};
    return flow_key{endpoint{ip_address::from_v4(bytes), 40000}, split_address,
                    transport::udp};
}

flow_tables tables_of(const forwarding_set& set, const flow_key& flow)
{
    return set.tables_of(flow, stable_hash(flow));
}

// Whether a packet of an open flow is taken to this service, among others.
bool may_be_at(const flow_tables& tables, service_id service)
{
    const auto is_wanted = [service](const table_pair* each)
    {
        return each != nullptr && each->service == service;
    };
    return is_wanted(tables.chosen) || tables.has_more_former ||
           std::any_of(tables.former.begin(), tables.former.end(), is_wanted);
}

// One daemon with control and a balancer.
class restarted_daemon : public testing::Test
{
protected:
    restarted_daemon()
    {
        std::string pattern = testing::TempDir() + "crowlink_former_XXXXXX";
        m_folder = mkdtemp(pattern.data());
        m_settings = settings();
        start();
    }

    ~restarted_daemon() override
    {
        m_daemon = fail(error_kind::unavailable, "", "ended");
        std::filesystem::remove_all(m_folder);
    }

    void start()
    {
        m_daemon = fail(error_kind::unavailable, "", "ended");
        m_daemon = running_daemon::start(m_settings, m_log);
        ASSERT_TRUE(m_daemon) << to_string(m_daemon.error());
    }

    daemon_settings settings() const
    {
        daemon_settings made;
        made.host = host_settings{host_id("h"), place_id("p"), region_id("r")};
        made.control.emplace();
        made.control->data_folder = m_folder + "/data";
        made.control->peer_listen = any_port;
        made.control->node_listen = any_port;
        made.control->election_ms = 100;
        made.control->peers = {control_peer{
            host_id("h"), place_id("p"), region_id("r"), any_port, "", true}};
        made.balancer.emplace();
        made.balancer->mode = port_mode::plain_datagrams;
        made.balancer->listen = {any_port};
        made.balancer->tunnel = any_port;
        return made;
    }

    void apply(const system_document& document)
    {
        control_backend backend(m_settings, (*m_daemon)->control(),
                                [] { return std::string(); });
        change_request request;
        request.base = config_version(m_version);
        request.operation = operation_id("op-" + std::to_string(++m_version));
        request.author = "test";
        request.document = document;
        result<change_outcome> outcome = backend.change(request);
        for (int tries = 0; !outcome && tries < most_tries; ++tries)
        {
            std::this_thread::sleep_for(patience);
            outcome = backend.change(request);
        }
        ASSERT_TRUE(outcome) << to_string(outcome.error());
        ASSERT_EQ(outcome->version, config_version(m_version));
    }

    // What the daemon's balancer has in force once the last version is there.
    std::shared_ptr<const forwarding_set> balancer_set()
    {
        for (int tries = 0; tries < most_tries; ++tries)
        {
            std::vector<service_view> views;
            const auto version = (*m_daemon)->control().ask<config_version>(
                [&views](control_thread::context& with)
                {
                    for (const auto& each : with.board.views.get())
                    {
                        views.push_back(*each.second);
                    }
                    return with.board.node_version.get();
                });
            if (version && *version == config_version(m_version))
            {
                return forwarding_set::with_changes(forwarding_set::empty(),
                                                    views, {});
            }
            std::this_thread::sleep_for(patience);
        }
        return forwarding_set::empty();
    }

    std::string m_folder;
    log_sink m_log{stderr, log_format::key_value, log_level::error};
    std::uint64_t m_version = 0;
    daemon_settings m_settings;
    result<std::unique_ptr<running_daemon>> m_daemon =
        fail(error_kind::unavailable, "", "not started");
};

// Control hosts, of which any may restart from its snapshot, and a balancer
// that starts anew before each look.
class fresh_balancers
{
public:
    fresh_balancers() : m_publisher(fast(), 1) { m_publisher.set_ready(true); }

    void apply(const system_document& document, std::chrono::milliseconds now,
               std::chrono::milliseconds flow_life)
    {
        replication::document_change change;
        change.given = config_version(++m_version);
        change.document = std::to_string(m_version);
        change.routing =
            replication::change_routing{routes_of(document), now, flow_life};
        m_store.apply(change);
        m_publisher.document_changed(make_publication(
            change.given, document, m_publisher.state().publication().get(),
            to_former_services(m_store.routing().former())));
    }

    // The log goes on from what it saved.
    void restart_control()
    {
        replication::document_store loaded;
        ASSERT_TRUE(loaded.load(m_store.save()));
        m_store = std::move(loaded);
    }

    std::shared_ptr<const forwarding_set> start_balancer()
    {
        subscriber_settings settings;
        settings.wants.all_services = true;
        settings.publishers = {{host_id("c"), place_id("p"), region_id("r")}};
        subscriber node(settings, 1, m_now);
        auto set = forwarding_set::empty();
        const config_version wanted(m_version);
        while (node.applied_version() != wanted && !testing::Test::HasFailure())
        {
            m_now += std::chrono::milliseconds(100);
            take(node, node.tick(m_now), set);
            for (const membership_send& each : m_publisher.tick(m_now))
            {
                take(node, node.handle(m_now, host_id("c"), each.message), set);
            }
        }
        return set;
    }

private:
    static publisher_settings fast()
    {
        publisher_settings made;
        made.bytes_per_second = 1'000'000;
        made.burst_bytes = 1'000'000;
        return made;
    }

    void take(subscriber& node, const subscriber_output& out,
              std::shared_ptr<const forwarding_set>& set)
    {
        set = forwarding_set::with_changes(set, out.changed, {});
        for (const membership_send& each : out.sends)
        {
            for (const membership_send& answer :
                 m_publisher.handle(m_now, host_id("n"), each.message))
            {
                take(node, node.handle(m_now, host_id("c"), answer.message),
                     set);
            }
        }
    }

    time_point m_now{std::chrono::hours(1)};
    std::uint64_t m_version = 0;
    replication::document_store m_store;
    publisher m_publisher;
};

} // namespace

// Guards against open flows that are reset after a change of weights and a
// restart: the fresh balancer did not know that the address led elsewhere
// before, as the former service still has another route.
TEST_F(restarted_daemon, knows_where_open_flows_of_a_changed_route_may_be)
{
    apply(split_document({90, 10}));
    std::vector<service_id> before;
    const auto first = balancer_set();
    for (std::uint32_t number = 0; number < 100; ++number)
    {
        const flow_tables found = tables_of(*first, split_flow(number));
        ASSERT_NE(found.chosen, nullptr);
        before.push_back(found.chosen->service);
    }
    apply(split_document({10, 90}));
    start();
    const auto second = balancer_set();
    for (std::uint32_t number = 0; number < before.size(); ++number)
    {
        EXPECT_TRUE(
            may_be_at(tables_of(*second, split_flow(number)), before[number]))
            << "flow " << number;
    }
}

// Guards against any way to lose a former service while flows may be open:
// drawn changes, restarts of control from snapshots, and a fresh balancer.
TEST(former_services, are_known_to_fresh_balancers_while_flows_live)
{
    using std::chrono::milliseconds;
    constexpr std::uint32_t services = 4;
    static constexpr milliseconds flow_life = std::chrono::seconds(60);
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        std::mt19937_64 random(seed);
        fresh_balancers world;
        milliseconds now{};
        // For each flow, where it was opened and when.
        std::map<std::uint32_t, std::pair<service_id, milliseconds>> flows;
        for (std::uint32_t round = 0; round < 25; ++round)
        {
            weights parts(services);
            for (std::uint32_t& part : parts)
            {
                part = random() % 3;
            }
            parts[random() % services] += 1;
            world.apply(split_document(parts), now, flow_life);
            if (random() % 3 == 0)
            {
                world.restart_control();
            }
            const auto set = world.start_balancer();
            for (const auto& [number, opened] : flows)
            {
                ASSERT_TRUE(may_be_at(tables_of(*set, split_flow(number)),
                                      opened.first))
                    << "seed " << seed << " round " << round;
            }
            for (std::uint32_t each = 0; each < 5; ++each)
            {
                const std::uint32_t number = 5 * round + each;
                flows[number] = {
                    tables_of(*set, split_flow(number)).chosen->service, now};
            }
            now += milliseconds(random() % 20'000);
            std::erase_if(flows, [now](const auto& each)
                          { return now - each.second.second > flow_life; });
        }
    }
}

// Guards against memory and messages that grow with all changes ever made.
TEST(former_services, are_forgotten_once_no_flow_can_be_open)
{
    fresh_balancers world;
    constexpr std::chrono::seconds flow_life(60);
    world.apply(split_document({1, 0}), {}, flow_life);
    world.apply(split_document({0, 1}), std::chrono::seconds(1), flow_life);
    const flow_key flow = split_flow(1);
    EXPECT_EQ(tables_of(*world.start_balancer(), flow).former.size(), 1U);
    system_document later = split_document({0, 1});
    later.routes[1].terms.priority = 7;
    world.apply(later, std::chrono::minutes(10), flow_life);
    EXPECT_TRUE(tables_of(*world.start_balancer(), flow).former.empty());
}

// An address of a service's own is no route, and moves all the same.
TEST(former_services, of_an_address_of_a_service_are_known)
{
    fresh_balancers world;
    system_document document;
    document.services = {declared(1), declared(2)};
    document.services[0].addresses = {split_address, other_address};
    world.apply(document, {}, std::chrono::seconds(60));
    document.services[0].addresses = {other_address};
    document.services[1].addresses = {split_address};
    world.apply(document, {}, std::chrono::seconds(60));
    const auto set = world.start_balancer();
    EXPECT_TRUE(may_be_at(tables_of(*set, split_flow(1)), service_id(1)));
}

} // namespace crowlink::internal
