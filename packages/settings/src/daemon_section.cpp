#include "object_reader.hpp"
#include "sections.hpp"

#include <fmt/format.h>
#include <set>
#include <utility>

namespace crowlink::internal
{

namespace
{

constexpr std::uint32_t least_pacing = 1024;
constexpr std::uint32_t most_pacing = 100'000'000;
constexpr std::size_t most_voters = 5;
constexpr std::size_t most_control_hosts = 20;
constexpr std::uint32_t least_lease_ms = 300;
constexpr std::uint32_t most_lease_ms = 3'600'000;
constexpr std::uint8_t v4_loopback_net = 127;

bool is_loopback(const endpoint& value)
{
    static const ip_address v6_loopback = *ip_address::parse("::1");
    constexpr std::size_t v4_offset = 12;
    const ip_address& address = value.address;
    return address == v6_loopback ||
           (address.is_v4() && address.bytes()[v4_offset] == v4_loopback_net);
}

std::size_t voters_of(const control_role_settings& control)
{
    std::size_t voters = 0;
    for (const control_peer& peer : control.peers)
    {
        voters += peer.voter ? 1 : 0;
    }
    return voters;
}

seed_settings read_seed_section(object_reader& reader)
{
    constexpr std::uint32_t highest_port = 65535;
    seed_settings seeds;
    seeds.hosts = reader.addresses("hosts", 1);
    seeds.peer_port =
        static_cast<std::uint16_t>(reader.number("peer_port", 1, highest_port));
    seeds.node_port =
        static_cast<std::uint16_t>(reader.number("node_port", 1, highest_port));
    return seeds;
}

void add_seed(const endpoint& seed, std::size_t voters, daemon_settings& daemon)
{
    const host_id name(seed.address.to_string());
    const host_settings& own = daemon.host;
    daemon.control_endpoints.push_back(
        control_endpoint{name, own.place, own.region,
                         endpoint{seed.address, daemon.seeds->node_port}, ""});
    if (daemon.control)
    {
        const bool votes = daemon.control->peers.size() < voters;
        daemon.control->peers.push_back(control_peer{
            name, own.place, own.region,
            endpoint{seed.address, daemon.seeds->peer_port}, "", votes});
    }
}

// Control hosts from addresses alone.
void read_seeds(object_reader& reader, daemon_settings& daemon)
{
    if (!reader.has("seeds"))
    {
        return;
    }
    daemon.seeds = reader.object("seeds", read_seed_section);
    const std::vector<endpoint>& hosts = daemon.seeds->hosts;
    // With an even number of hosts the last one has no vote: it would make the
    // quorum larger and no loss easier to bear.
    const std::size_t odd = hosts.size() - 1 + hosts.size() % 2;
    const std::size_t voters = std::min(most_voters, odd);
    bool is_listed = false;
    for (const endpoint& seed : hosts)
    {
        is_listed =
            is_listed || seed.address.to_string() == daemon.host.name.value();
        add_seed(seed, voters, daemon);
    }
    if (daemon.control && !is_listed)
    {
        daemon.control->peers.push_back(control_peer{
            daemon.host.name, daemon.host.place, daemon.host.region,
            daemon.control->peer_listen, "", false});
    }
}

place read_data_centre(object_reader& reader)
{
    place made;
    made.id = place_id(reader.text("name"));
    made.region = region_id(reader.text("region"));
    return made;
}

void check_data_centres(object_reader& reader, const daemon_settings& daemon)
{
    std::set<place_id> names;
    for (const place& each : daemon.data_centres)
    {
        if (!names.insert(each.id).second)
        {
            reader.refuse("data_centres",
                          fmt::format("found \"{}\" twice; allowed: each data "
                                      "centre once",
                                      each.id.value()));
        }
    }
}

// Probes carry no key.
void check_reach(object_reader& reader, const daemon_settings& daemon)
{
    constexpr std::uint16_t least_port = 2;
    if (daemon.keys)
    {
        reader.refuse("reach_listen", "found with \"keys\"; allowed: one of "
                                      "them, as probes carry no keys");
    }
    if (daemon.reach_listen->port < least_port)
    {
        reader.refuse("reach_listen",
                      fmt::format("found port {}; allowed: 2 to 65535, as the "
                                  "port below is used too",
                                  daemon.reach_listen->port));
    }
}

void check_roles(object_reader& reader, const daemon_settings& daemon)
{
    if (!daemon.control && !daemon.is_node())
    {
        reader.refuse("", "no role; allowed: at least one of control, "
                          "balancer, agents, operator_relay");
    }
    if (daemon.control && daemon.operator_relay)
    {
        reader.refuse("operator_relay", "found with \"control\"; allowed: one "
                                        "of them, as control answers operators "
                                        "itself");
    }
    if (!daemon.control && daemon.control_endpoints.empty())
    {
        reader.refuse("control_endpoints",
                      "missing; allowed: at least one control host, for a "
                      "daemon without the control role");
    }
}

void check_peers(object_reader& reader, const daemon_settings& daemon)
{
    const control_role_settings& control = *daemon.control;
    const std::size_t voters = voters_of(control);
    if (voters != 1 && voters != 3 && voters != most_voters)
    {
        reader.refuse(
            "control/peers",
            fmt::format("found {} voters; allowed: 1, 3 or 5", voters));
    }
    if (control.peers.size() > most_control_hosts)
    {
        reader.refuse("control/peers",
                      fmt::format("found {} hosts; allowed: at most {}",
                                  control.peers.size(), most_control_hosts));
    }
    std::set<host_id> names;
    for (const control_peer& peer : control.peers)
    {
        if (!names.insert(peer.host).second)
        {
            reader.refuse("control/peers",
                          fmt::format("found host \"{}\" twice; allowed: each "
                                      "host once",
                                      peer.host.value()));
        }
    }
    if (names.count(daemon.host.name) == 0)
    {
        reader.refuse("control/peers",
                      fmt::format("found no entry for this host \"{}\"; "
                                  "allowed: all control hosts, this one too",
                                  daemon.host.name.value()));
    }
}

void check_http(object_reader& reader, const control_role_settings& control)
{
    if (control.http && control.tokens_file.empty())
    {
        reader.refuse("control/tokens_file",
                      "missing; allowed: a file of operators' tokens, as "
                      "\"http\" is set");
    }
    if (control.http && !is_loopback(*control.http) && !control.tls)
    {
        reader.refuse("control/http",
                      fmt::format("found {} without \"tls\"; allowed: a "
                                  "loopback address, or any with \"tls\"",
                                  control.http->to_string()));
    }
}

// Each address that other processes use, with its path in the file.
std::vector<std::pair<std::string, endpoint>>
internal_addresses(const daemon_settings& daemon)
{
    std::vector<std::pair<std::string, endpoint>> found;
    if (daemon.control)
    {
        found.emplace_back("control/peer_listen", daemon.control->peer_listen);
        found.emplace_back("control/node_listen", daemon.control->node_listen);
    }
    for (std::size_t at = 0; at < daemon.control_endpoints.size(); ++at)
    {
        found.emplace_back(fmt::format("control_endpoints/{}/address", at),
                           daemon.control_endpoints[at].address);
    }
    if (daemon.balancer)
    {
        found.emplace_back("balancer/tunnel", daemon.balancer->tunnel);
    }
    for (std::size_t at = 0; at < daemon.agents.size(); ++at)
    {
        found.emplace_back(fmt::format("agents/{}/tunnel", at),
                           daemon.agents[at].tunnel);
    }
    return found;
}

// Without keys a daemon trusts its network; only loopback is to be trusted.
void check_loopback(object_reader& reader, const daemon_settings& daemon)
{
    for (const auto& [path, address] : internal_addresses(daemon))
    {
        if (!is_loopback(address))
        {
            reader.refuse(path,
                          fmt::format("found {} without \"keys\"; allowed: a "
                                      "loopback address, or any with \"keys\"",
                                      address.to_string()));
        }
    }
}

void check_keys(object_reader& reader, const daemon_settings& daemon)
{
    if (daemon.control && daemon.keys->allowed.empty())
    {
        reader.refuse("keys/allowed",
                      "missing; allowed: the file of allowed keys, for a "
                      "daemon with the control role");
    }
    const bool carries_packets = daemon.balancer || !daemon.agents.empty();
    if (carries_packets && daemon.keys->packet.empty())
    {
        reader.refuse("keys/packet",
                      "missing; allowed: at least one packet key file, for a "
                      "daemon with the balancer or agent role");
    }
    for (std::size_t at = 0; at < daemon.control_endpoints.size(); ++at)
    {
        if (daemon.control_endpoints[at].public_key.empty())
        {
            reader.refuse(fmt::format("control_endpoints/{}/public_key", at),
                          "missing; allowed: 40 characters of Z85, as "
                          "\"keys\" is set");
        }
    }
    const std::size_t peers = daemon.control ? daemon.control->peers.size() : 0;
    for (std::size_t at = 0; at < peers; ++at)
    {
        if (daemon.control->peers[at].public_key.empty())
        {
            reader.refuse(fmt::format("control/peers/{}/public_key", at),
                          "missing; allowed: 40 characters of Z85, as "
                          "\"keys\" is set");
        }
    }
}

// Two agents of one process must differ in name and tunnel.
void check_agents(object_reader& reader, const daemon_settings& daemon)
{
    std::set<upstream_id> names;
    std::set<endpoint> tunnels;
    for (std::size_t at = 0; at < daemon.agents.size(); ++at)
    {
        const agent_role_settings& agent = daemon.agents[at];
        if (!names.insert(agent.upstream).second)
        {
            reader.refuse(fmt::format("agents/{}/upstream", at),
                          fmt::format("found \"{}\" twice; allowed: a name "
                                      "that no other agent has",
                                      agent.upstream.value()));
        }
        if (agent.tunnel.port != 0 && !tunnels.insert(agent.tunnel).second)
        {
            reader.refuse(fmt::format("agents/{}/tunnel", at),
                          fmt::format("found {} twice; allowed: an address "
                                      "that no other agent has",
                                      agent.tunnel.to_string()));
        }
    }
}

} // namespace

daemon_settings read_daemon(object_reader& reader)
{
    daemon_settings daemon;
    daemon.host = reader.object("host", read_host);
    if (reader.has("log"))
    {
        daemon.log = reader.object("log", read_log);
    }
    if (reader.has("keys"))
    {
        daemon.keys = reader.object("keys", read_keys);
    }
    daemon.control_endpoints =
        reader.objects("control_endpoints", read_control_endpoint);
    if (reader.has("control"))
    {
        daemon.control = reader.object("control", read_control);
    }
    if (reader.has("balancer"))
    {
        daemon.balancer = reader.object("balancer", read_balancer);
    }
    daemon.agents = reader.objects("agents", read_agent);
    if (reader.has("operator_relay"))
    {
        daemon.operator_relay = reader.address("operator_relay");
    }
    daemon.data_centres = reader.objects("data_centres", read_data_centre);
    check_data_centres(reader, daemon);
    read_seeds(reader, daemon);
    daemon.is_network_trusted =
        reader.flag("trusted_network", daemon.is_network_trusted);
    daemon.lease_ms = reader.number("lease_ms", least_lease_ms, most_lease_ms,
                                    daemon.lease_ms);
    daemon.pacing_bytes_per_second =
        reader.number("pacing_bytes_per_second", least_pacing, most_pacing,
                      daemon.pacing_bytes_per_second);
    if (reader.has("health"))
    {
        daemon.health = reader.address("health");
    }
    if (reader.has("reach_listen"))
    {
        daemon.reach_listen = reader.address("reach_listen");
        check_reach(reader, daemon);
    }
    check_roles(reader, daemon);
    check_agents(reader, daemon);
    if (daemon.control)
    {
        check_peers(reader, daemon);
        check_http(reader, *daemon.control);
    }
    if (reader.has("platform_ready"))
    {
        daemon.platform_ready = reader.address("platform_ready");
    }
    if (daemon.keys && daemon.seeds)
    {
        reader.refuse("seeds", "found with \"keys\"; allowed: one of them, as "
                               "seeds name no keys");
    }
    if (daemon.keys)
    {
        check_keys(reader, daemon);
    }
    else if (!daemon.is_network_trusted)
    {
        check_loopback(reader, daemon);
    }
    return daemon;
}

} // namespace crowlink::internal
