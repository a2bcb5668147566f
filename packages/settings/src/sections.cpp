#include "sections.hpp"

#include "crowlink/model/system_document.hpp"

#include "object_reader.hpp"

#include <limits>

namespace crowlink::internal
{

namespace
{

constexpr std::uint32_t most_queue_lines = 1'000'000;
constexpr std::uint32_t most_decisions = 1'000'000;
constexpr std::uint32_t most_threads = 64;
constexpr std::uint32_t most_weight = 1000;
constexpr std::uint32_t most_drain_seconds = 86'400;
constexpr std::uint32_t least_silence_ms = 100;
constexpr std::uint32_t most_silence_ms = 3'600'000;
// Below, a sync of a slow disk would look like a lost leader.
constexpr std::uint32_t least_election_ms = 100;
constexpr std::uint32_t most_election_ms = 60'000;
constexpr double least_flow_seconds = 1;
constexpr double most_flow_seconds = 604'800;
// Five voters bear two losses.
constexpr std::uint32_t most_losses_borne = 2;
constexpr double least_link_mbps = 0.1;
constexpr double most_link_mbps = 1'000'000.0;
constexpr double least_cpu_share = 0.001;
constexpr double most_cpu_share = 1024.0;
constexpr std::size_t public_key_length = 40;
constexpr std::size_t most_packet_keys = 2;

constexpr choice<log_format> formats[] = {
    {"key_value", log_format::key_value},
    {"json", log_format::json},
};
constexpr choice<log_level> levels[] = {
    {"debug", log_level::debug},
    {"info", log_level::info},
    {"warning", log_level::warning},
    {"error", log_level::error},
};
constexpr choice<port_mode> port_modes[] = {
    {"datagram", port_mode::plain_datagrams},
    {"ip_in_udp", port_mode::ip_in_udp},
    {"flow_packets", port_mode::flow_packets},
};
constexpr choice<delivery_mode> delivery_modes[] = {
    {"datagram", delivery_mode::plain_datagrams},
    {"ip_in_udp", delivery_mode::ip_in_udp},
    {"flow_packets", delivery_mode::flow_packets},
};

// A service by its number, or by its name where the numbers follow from names.
service_id read_service(object_reader& reader)
{
    if (reader.has("service_name"))
    {
        return number_of_service(reader.text("service_name"));
    }
    return service_id(
        reader.number("service", 1, std::numeric_limits<std::uint32_t>::max()));
}

flow_packet_settings read_flow_packets(object_reader& reader)
{
    flow_packet_settings packets;
    packets.outbound = reader.address("outbound");
    packets.announcements = reader.address("announcements");
    packets.health_path = reader.optional_text("health_path");
    packets.work_per_slot = reader.number("work_per_slot", 0, most_queue_lines,
                                          packets.work_per_slot);
    packets.silent_after_ms =
        reader.number("silent_after_ms", least_silence_ms, most_silence_ms,
                      packets.silent_after_ms);
    packets.idle_seconds = reader.number("idle_seconds", 1, most_drain_seconds,
                                         packets.idle_seconds);
    return packets;
}

std::string read_public_key(object_reader& reader)
{
    std::string key = reader.optional_text("public_key");
    if (!key.empty() && key.size() != public_key_length)
    {
        reader.refuse("public_key",
                      "found " + std::to_string(key.size()) +
                          " characters; allowed: 40 characters of Z85");
    }
    return key;
}

control_peer read_peer(object_reader& reader)
{
    control_peer peer;
    peer.host = host_id(reader.text("host"));
    peer.place = place_id(reader.text("place"));
    peer.region = region_id(reader.text("region"));
    peer.address = reader.address("address");
    peer.public_key = read_public_key(reader);
    peer.voter = reader.flag("voter", true);
    return peer;
}

tls_settings read_tls(object_reader& reader)
{
    return tls_settings{reader.text("certificate"), reader.text("key")};
}

} // namespace

host_settings read_host(object_reader& reader)
{
    host_settings host;
    host.name = host_id(reader.text("name"));
    // The slash sets a host's roles apart in messages.
    if (host.name.value().find('/') != std::string::npos)
    {
        reader.refuse("name", "found \"" + host.name.value() +
                                  "\"; allowed: a name without '/'");
    }
    host.place = place_id(reader.text("place"));
    host.region = region_id(reader.text("region"));
    host.link_mbps =
        reader.optional_decimal("link_mbps", least_link_mbps, most_link_mbps);
    host.cpu_share =
        reader.optional_decimal("cpu_share", least_cpu_share, most_cpu_share);
    return host;
}

log_settings read_log(object_reader& reader)
{
    log_settings log;
    log.format = reader.one_of("format", formats, log.format);
    log.level = reader.one_of("level", levels, log.level);
    log.queue_lines =
        reader.number("queue_lines", 1, most_queue_lines, log.queue_lines);
    log.decisions_per_second = reader.number(
        "decisions_per_second", 0, most_decisions, log.decisions_per_second);
    return log;
}

key_settings read_keys(object_reader& reader)
{
    key_settings keys;
    keys.own = reader.text("own");
    keys.allowed = reader.optional_text("allowed");
    keys.packet = reader.texts("packet", 0);
    if (keys.packet.size() > most_packet_keys)
    {
        reader.refuse("packet", "found " + std::to_string(keys.packet.size()) +
                                    " files; allowed: one that signs and one "
                                    "more that is accepted");
    }
    return keys;
}

control_endpoint read_control_endpoint(object_reader& reader)
{
    control_endpoint control;
    control.host = host_id(reader.text("host"));
    control.place = place_id(reader.text("place"));
    control.region = region_id(reader.text("region"));
    control.address = reader.address("address");
    control.public_key = read_public_key(reader);
    return control;
}

control_role_settings read_control(object_reader& reader)
{
    control_role_settings control;
    control.data_folder = reader.text("data_folder");
    control.peer_listen = reader.address("peer_listen");
    control.node_listen = reader.address("node_listen");
    control.peers = reader.objects("peers", read_peer);
    if (reader.has("http"))
    {
        control.http = reader.address("http");
    }
    if (reader.has("losses_borne"))
    {
        control.losses_borne =
            reader.number("losses_borne", 0, most_losses_borne);
    }
    control.election_ms = reader.number("election_ms", least_election_ms,
                                        most_election_ms, control.election_ms);
    control.flow_seconds =
        reader
            .optional_decimal("flow_seconds", least_flow_seconds,
                              most_flow_seconds)
            .value_or(control.flow_seconds);
    control.may_found = reader.flag("may_found", control.may_found);
    if (reader.has("platform_listen"))
    {
        control.platform_listen = reader.address("platform_listen");
    }
    control.tokens_file = reader.optional_text("tokens_file");
    if (reader.has("tls"))
    {
        control.tls = reader.object("tls", read_tls);
    }
    return control;
}

balancer_role_settings read_balancer(object_reader& reader)
{
    balancer_role_settings balancer;
    balancer.mode = reader.one_of("mode", port_modes, balancer.mode);
    balancer.listen = reader.addresses("listen", 1);
    balancer.tunnel = reader.address("tunnel");
    if (balancer.mode == port_mode::ip_in_udp || reader.has("gateway"))
    {
        balancer.gateway = reader.address("gateway");
    }
    balancer.threads =
        reader.number("threads", 1, most_threads, balancer.threads);
    return balancer;
}

agent_role_settings read_agent(object_reader& reader)
{
    agent_role_settings agent;
    agent.delivery = reader.one_of("delivery", delivery_modes, agent.delivery);
    if (agent.delivery == delivery_mode::flow_packets)
    {
        agent.flow_packets = reader.object("flow_packets", read_flow_packets);
    }
    else
    {
        agent.upstream = upstream_id(reader.text("upstream"));
    }
    agent.service = read_service(reader);
    agent.upstream_address = reader.address("upstream_address");
    agent.weight = reader.number("weight", 1, most_weight, agent.weight);
    agent.tunnel = reader.address("tunnel");
    if (agent.flow_packets)
    {
        agent.flow_packets->caller_port = agent.tunnel.port;
    }
    agent.drain_seconds = reader.number("drain_seconds", 0, most_drain_seconds,
                                        agent.drain_seconds);
    return agent;
}

} // namespace crowlink::internal
