#include "crowlink/replication/document_store.hpp"
#include "crowlink/replication/route_history.hpp"

#include <gtest/gtest.h>

namespace crowlink::replication
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds flow_life = seconds(60);

routed_service routed(std::uint32_t address, std::uint32_t service,
                      std::uint32_t weight = 1)
{
    const auto parsed =
        endpoint::parse("198.51.100." + std::to_string(address) + ":443");
    return routed_service{*parsed, transport::tcp, service_id(service), weight};
}

change_routing at(milliseconds time, std::vector<routed_service> routes)
{
    return change_routing{route_table(std::move(routes)), time, flow_life};
}

// Address and service of each former route.
std::vector<std::string> former(const route_history& history)
{
    std::vector<std::string> found;
    for (const former_route& each : *history.former())
    {
        found.push_back(each.address.to_string() + " " +
                        std::to_string(each.service.value()));
    }
    return found;
}

using texts = std::vector<std::string>;

} // namespace

TEST(route_history, keeps_the_services_of_an_address_that_changes)
{
    route_history history;
    history.advance(at({}, {routed(1, 7, 90), routed(1, 8, 10), routed(2, 7)}));
    EXPECT_TRUE(former(history).empty());
    history.advance(at(seconds(1), {routed(2, 7), routed(1, 8, 10)}));
    EXPECT_EQ(former(history),
              (texts{"198.51.100.1:443 7", "198.51.100.1:443 8"}));
}

// A weight moves flows between services that stay.
TEST(route_history, keeps_the_services_of_an_address_with_other_weights)
{
    route_history history;
    history.advance(at({}, {routed(1, 7, 90), routed(1, 8, 10)}));
    history.advance(at(seconds(1), {routed(1, 7, 10), routed(1, 8, 90)}));
    EXPECT_EQ(former(history),
              (texts{"198.51.100.1:443 7", "198.51.100.1:443 8"}));
}

// Guards against a route that comes back elsewhere while its flows are open.
TEST(route_history, keeps_the_service_of_an_address_that_is_away_for_a_while)
{
    route_history history;
    history.advance(at({}, {routed(1, 7), routed(2, 7)}));
    history.advance(at(seconds(1), {routed(2, 7)}));
    history.advance(at(seconds(2), {routed(1, 8), routed(2, 7)}));
    EXPECT_EQ(former(history), texts{"198.51.100.1:443 7"});
}

TEST(route_history, forgets_a_service_once_no_flow_can_be_open_there)
{
    route_history history;
    history.advance(at({}, {routed(1, 7)}));
    history.advance(at(seconds(1), {routed(1, 8)}));
    history.advance(at(seconds(60), {routed(1, 8)}));
    EXPECT_EQ(former(history), texts{"198.51.100.1:443 7"});
    history.advance(at(seconds(120), {routed(1, 8)}));
    EXPECT_TRUE(former(history).empty());
}

// Guards against a leader that has just started and knows of less time: what is
// remembered must not be forgotten earlier for it, nor later for ever.
TEST(route_history, has_a_clock_that_never_goes_back)
{
    route_history history;
    history.advance(at(seconds(50), {routed(1, 7)}));
    history.advance(at(seconds(10), {routed(1, 8)}));
    EXPECT_EQ(history.time(), seconds(50));
    EXPECT_EQ(history.former()->front().changed_at, seconds(50));
}

// Guards against a snapshot that brings the document without its history.
TEST(route_history, is_a_part_of_the_snapshot)
{
    const auto change = [](std::uint64_t version, const change_routing& routing)
    {
        document_change made;
        made.given = config_version(version);
        made.document = "{}";
        made.routing = routing;
        return made;
    };
    document_store store;
    routed_service v6 = routed(1, 7);
    v6.address = *endpoint::parse("[2001:db8::1]:443");
    v6.protocol = transport::udp;
    store.apply(change(1, at(seconds(3), {routed(1, 7), v6})));
    store.apply(change(2, at(seconds(4), {routed(1, 8, 3)})));
    document_store loaded;
    ASSERT_TRUE(loaded.load(store.save()));
    EXPECT_EQ(loaded.routing().current(), store.routing().current());
    EXPECT_EQ(*loaded.routing().former(), *store.routing().former());
    EXPECT_EQ(loaded.routing().former()->size(), 2U);
    EXPECT_EQ(loaded.routing().time(), seconds(4));
}

} // namespace crowlink::replication
