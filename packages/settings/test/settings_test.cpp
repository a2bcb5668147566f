#include "crowlink/settings.hpp"

#include "crowlink/model/system_document.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <string>

namespace crowlink
{
namespace
{

constexpr const char* valid_node = R"({
  // An entry host.
  "host": {"name": "entry-1", "place": "quezon", "region": "ncr"},
  "log": {"format": "json", "level": "debug"},
  "control_endpoints": [{"host": "c1", "place": "quezon", "region": "ncr",
                         "address": "127.0.0.1:7002"}],
  "balancer": {"mode": "datagram", "listen": ["127.0.0.1:9000"],
               "tunnel": "127.0.0.1:9100", "threads": 2},
  "agents": [{"upstream": "hiraman-1", "service": 1, "weight": 50,
              "upstream_address": "127.0.0.1:9200",
              "tunnel": "127.0.0.1:9101"}]
})";

// Whether one of the errors names this place and holds this text.
bool names(const settings_result& found, const std::string& place,
           const std::string& text)
{
    return !found &&
           std::any_of(found.error().begin(), found.error().end(),
                       [&](const error& each)
                       {
                           return each.place == place &&
                                  each.message.find(text) != std::string::npos;
                       });
}

std::string replaced(std::string text, const std::string& from,
                     const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

TEST(settings, reads_every_field)
{
    const settings_result found = parse_settings(valid_node, "f");
    ASSERT_TRUE(found) << to_string(found.error().front());
    EXPECT_EQ(found->host.place, place_id("quezon"));
    EXPECT_EQ(found->log.format, log_format::json);
    EXPECT_EQ(found->log.level, log_level::debug);
    EXPECT_EQ(found->balancer->mode, port_mode::plain_datagrams);
    EXPECT_EQ(found->balancer->threads, 2U);
    EXPECT_EQ(found->agents.front().weight, 50U);
    EXPECT_EQ(found->agents.front().service, service_id(1));
    EXPECT_FALSE(found->control);
}

TEST(settings, reports_all_errors_at_once_with_path_found_and_allowed)
{
    std::string text = replaced(valid_node, "\"weight\": 50",
                                "\"weight\": 5000, \"wieght\": 1");
    text = replaced(text, "127.0.0.1:9100", "localhost");
    text = replaced(text, "\"json\"", "\"xml\"");
    const settings_result found = parse_settings(text, "a.jsonc");
    ASSERT_FALSE(found);
    EXPECT_EQ(found.error().size(), 4U);
    EXPECT_TRUE(names(found, "a.jsonc: /agents/0/weight",
                      "found 5000; allowed: a whole number, 1 to 1000"));
    EXPECT_TRUE(names(found, "a.jsonc: /agents/0/wieght",
                      "unknown field; allowed: delivery, drain_seconds"));
    EXPECT_TRUE(
        names(found, "a.jsonc: /balancer/tunnel", "found \"localhost\""));
    EXPECT_TRUE(names(found, "a.jsonc: /log/format",
                      "allowed: \"key_value\" or \"json\""));
}

TEST(settings, reads_what_a_host_may_use)
{
    const settings_result without = parse_settings(valid_node, "f");
    ASSERT_TRUE(without);
    EXPECT_FALSE(without->host.link_mbps);
    EXPECT_FALSE(without->host.cpu_share);
    const auto with = [](const std::string& fields)
    {
        return parse_settings(replaced(valid_node, "\"region\": \"ncr\"",
                                       "\"region\": \"ncr\", " + fields),
                              "f");
    };
    const settings_result found = with(R"("link_mbps": 2.9, "cpu_share": 1)");
    ASSERT_TRUE(found) << to_string(found.error().front());
    EXPECT_DOUBLE_EQ(*found->host.link_mbps, 2.9);
    EXPECT_DOUBLE_EQ(*found->host.cpu_share, 1.0);
    EXPECT_TRUE(names(with(R"("link_mbps": 0)"), "f: /host/link_mbps",
                      "found 0; allowed: a number, 0.1 to"));
    EXPECT_TRUE(names(with(R"("link_mbps": "5")"), "f: /host/link_mbps",
                      "allowed: a number"));
    EXPECT_TRUE(names(with(R"("cpu_share": -1)"), "f: /host/cpu_share",
                      "allowed: a number"));
}

TEST(settings, refuses_a_host_name_with_a_slash)
{
    const std::string text = replaced(valid_node, "entry-1", "entry/1");
    EXPECT_TRUE(names(parse_settings(text, "f"), "f: /host/name",
                      "allowed: a name without '/'"));
}

TEST(settings, refuses_a_field_given_twice)
{
    const std::string text = replaced(valid_node, "\"service\": 1",
                                      "\"service\": 1, \"service\": 2");
    EXPECT_TRUE(names(parse_settings(text, "f"), "f", "\"service\" twice"));
}

TEST(settings, refuses_wrong_types_without_stopping)
{
    for (const char* text : {"[]", "{\"host\": 3}", "{\"agents\": {}}",
                             "{\"host\": {}, \"balancer\": []}", "{", "", "7",
                             "{\"agents\": [1]}", "\"\\ud800\""})
    {
        EXPECT_FALSE(parse_settings(text, "f")) << text;
    }
}

TEST(settings, without_keys_only_loopback_is_allowed)
{
    const std::string text =
        replaced(valid_node, "127.0.0.1:9101", "192.0.2.1:9101");
    EXPECT_TRUE(names(parse_settings(text, "f"), "f: /agents/0/tunnel",
                      "without \"keys\""));
}

TEST(settings, with_keys_the_public_keys_of_control_are_required)
{
    const std::string text =
        replaced(valid_node, "\"log\"",
                 R"("keys": {"own": "a", "packet": ["b"]}, "log")");
    EXPECT_TRUE(names(parse_settings(text, "f"),
                      "f: /control_endpoints/0/public_key", "missing"));
}

TEST(settings, resolves_files_against_the_settings_folder)
{
    const std::string text = R"({
      "host": {"name": "c1", "place": "brest", "region": "bretagne"},
      "control": {"data_folder": "data", "peer_listen": "127.0.0.1:1",
                  "node_listen": "127.0.0.1:2", "http": "127.0.0.1:3",
                  "tokens_file": "/abs/tokens",
                  "peers": [{"host": "c1", "place": "brest",
                             "region": "bretagne", "address": "127.0.0.1:1"}]}})";
    const settings_result found = parse_settings(text, "/etc/x/c1.jsonc");
    ASSERT_TRUE(found) << to_string(found.error().front());
    EXPECT_EQ(found->control->data_folder, "/etc/x/data");
    EXPECT_EQ(found->control->tokens_file, "/abs/tokens");
}

TEST(settings, checks_the_set_of_control_hosts)
{
    const std::string text = R"({
      "host": {"name": "c3", "place": "brest", "region": "bretagne"},
      "control": {"data_folder": "data", "peer_listen": "127.0.0.1:1",
                  "node_listen": "127.0.0.1:2",
                  "peers": [{"host": "c1", "place": "brest",
                             "region": "bretagne", "address": "127.0.0.1:1"},
                            {"host": "c1", "place": "brest",
                             "region": "bretagne", "address": "127.0.0.1:4"}]}})";
    const settings_result found = parse_settings(text, "f");
    EXPECT_TRUE(names(found, "f: /control/peers", "found 2 voters"));
    EXPECT_TRUE(names(found, "f: /control/peers", "\"c1\" twice"));
    EXPECT_TRUE(names(found, "f: /control/peers", "this host \"c3\""));
}

TEST(settings, a_file_that_cannot_be_read_is_one_error)
{
    const settings_result found = load_settings("/nonexistent/x.jsonc");
    ASSERT_FALSE(found);
    EXPECT_EQ(found.error().front().kind, error_kind::storage);
}

constexpr const char* seeded_control = R"({
  "host": {"name": "10.1.0.10", "place": "quezon", "region": "ncr"},
  "trusted_network": true,
  "seeds": {"hosts": ["10.1.0.10:8166", "10.2.0.40:8166", "10.3.0.7:8166"],
            "peer_port": 7720, "node_port": 7721},
  "control": {"data_folder": "data", "losses_borne": 1, "election_ms": 500,
              "peer_listen": "10.1.0.10:7720",
              "node_listen": "10.1.0.10:7721"}
})";

TEST(settings, seeds_name_control_hosts_by_their_addresses)
{
    const settings_result found = parse_settings(seeded_control, "f");
    ASSERT_TRUE(found) << to_string(found.error().front());
    ASSERT_EQ(found->control->peers.size(), 3U);
    EXPECT_EQ(found->control->peers[1].host, host_id("10.2.0.40"));
    EXPECT_EQ(found->control->peers[1].address,
              *endpoint::parse("10.2.0.40:7720"));
    EXPECT_TRUE(found->control->peers[2].voter);
    EXPECT_EQ(found->control_endpoints[2].address,
              *endpoint::parse("10.3.0.7:7721"));
    EXPECT_EQ(found->control->losses_borne, 1U);
    EXPECT_TRUE(found->control->may_found);
}

TEST(settings, of_an_even_number_of_seeds_the_last_has_no_vote)
{
    const settings_result found = parse_settings(
        replaced(seeded_control, ", \"10.3.0.7:8166\"", ""), "f");
    ASSERT_TRUE(found) << to_string(found.error().front());
    ASSERT_EQ(found->control->peers.size(), 2U);
    EXPECT_TRUE(found->control->peers[0].voter);
    EXPECT_FALSE(found->control->peers[1].voter);
}

TEST(settings, a_control_host_that_is_no_seed_waits_to_be_admitted)
{
    const settings_result found =
        parse_settings(replaced(seeded_control, "\"name\": \"10.1.0.10\"",
                                "\"name\": \"10.9.0.1\""),
                       "f");
    ASSERT_TRUE(found) << to_string(found.error().front());
    ASSERT_EQ(found->control->peers.size(), 4U);
    EXPECT_EQ(found->control->peers[3].host, host_id("10.9.0.1"));
    EXPECT_FALSE(found->control->peers[3].voter);
}

TEST(settings, a_network_is_trusted_only_where_that_is_said)
{
    const settings_result found =
        parse_settings(replaced(seeded_control, "\"trusted_network\": true",
                                "\"lease_ms\": 600"),
                       "f");
    EXPECT_TRUE(names(found, "f: /control/peer_listen", "loopback"));
}

TEST(settings, data_centres_that_orders_may_name_are_listed_once)
{
    const std::string named =
        replaced(seeded_control, "\"trusted_network\": true",
                 R"("trusted_network": true, "data_centres": [
            {"name": "quezon", "region": "ncr"},
            {"name": "pasig", "region": "ncr"}])");
    const settings_result found = parse_settings(named, "f");
    ASSERT_TRUE(found) << to_string(found.error().front());
    ASSERT_EQ(found->data_centres.size(), 2U);
    EXPECT_EQ(found->data_centres[1],
              (place{place_id("pasig"), region_id("ncr")}));
    EXPECT_TRUE(names(parse_settings(replaced(named, "pasig", "quezon"), "f"),
                      "f: /data_centres", "each data centre once"));
}

TEST(settings, seeds_name_no_keys)
{
    const settings_result found =
        parse_settings(replaced(seeded_control, "\"trusted_network\": true",
                                "\"keys\": {\"own\": \"own.key\"}"),
                       "f");
    EXPECT_TRUE(names(found, "f: /seeds", "found with \"keys\""));
}

constexpr const char* relay_text = R"({
  "host": {"name": "10.1.0.11", "place": "quezon", "region": "ncr"},
  "trusted_network": true,
  "seeds": {"hosts": ["10.1.0.10:8166"], "peer_port": 7720,
            "node_port": 7721},
  "operator_relay": "10.1.0.11:8166"
})";

TEST(settings, a_host_without_a_disk_may_relay_operators)
{
    const settings_result found = parse_settings(relay_text, "f");
    ASSERT_TRUE(found) << to_string(found.error().front());
    EXPECT_EQ(found->operator_relay, *endpoint::parse("10.1.0.11:8166"));
    EXPECT_TRUE(found->is_node());
    EXPECT_FALSE(found->control);
}

TEST(settings, a_control_host_relays_no_operators)
{
    const settings_result found = parse_settings(
        replaced(seeded_control, "\"control\"",
                 "\"operator_relay\": \"10.1.0.10:8166\", \"control\""),
        "f");
    EXPECT_TRUE(names(found, "f: /operator_relay", "found with \"control\""));
}

TEST(settings, an_upstream_that_announces_itself_is_known_by_its_service)
{
    const std::string text =
        replaced(valid_node, "\"upstream\": \"hiraman-1\", \"service\": 1",
                 "\"delivery\": \"flow_packets\", \"service_name\": "
                 "\"huvo11a\", \"flow_packets\": {\"outbound\": "
                 "\"127.0.0.1:9300\", \"announcements\": "
                 "\"127.0.0.1:9301\"}");
    const settings_result found = parse_settings(text, "f");
    ASSERT_TRUE(found) << to_string(found.error().front());
    const agent_role_settings& agent = found->agents.front();
    EXPECT_EQ(agent.upstream, upstream_id());
    EXPECT_EQ(agent.service, number_of_service("huvo11a"));
    ASSERT_TRUE(agent.flow_packets);
    EXPECT_EQ(agent.flow_packets->caller_port, 9101);
}

TEST(key_grants, tell_roles_services_and_revoked_keys_apart)
{
    const std::string first(40, 'a');
    const std::string second(40, 'b');
    const auto found = key_grants::parse(
        R"({"keys": [{"public_key": ")" + second +
            R"(", "holder": "h1", "roles": ["agent"], "services": [7]},
            {"public_key": ")" +
            first + R"(", "holder": "e1", "roles": ["balancer"],
             "revoked": true}]})",
        "f");
    ASSERT_TRUE(found) << to_string(found.error().front());
    EXPECT_EQ(found->find(std::string(40, 'c')), nullptr);
    EXPECT_TRUE(found->find(second)->allows(service_id(7)));
    EXPECT_FALSE(found->find(second)->allows(service_id(8)));
    EXPECT_FALSE(found->find(second)->allows(node_role::balancer_node));
    EXPECT_FALSE(found->find(first)->allows(node_role::balancer_node));
}

TEST(key_grants, refuse_short_and_doubled_keys_and_unknown_roles)
{
    const std::string grant = R"({"public_key": "short", "holder": "h",
                                  "roles": ["king"], "services": [0]})";
    const auto found =
        key_grants::parse("{\"keys\": [" + grant + "," + grant + "]}", "f");
    ASSERT_FALSE(found);
    EXPECT_EQ(found.error().size(), 7U);
}

} // namespace
} // namespace crowlink
