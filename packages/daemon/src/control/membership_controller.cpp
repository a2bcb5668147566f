#include "control/membership_controller.hpp"

#include "control/lease_scale.hpp"

#include "crowlink/membership/balancer_record.hpp"

namespace crowlink::internal
{

namespace
{

observer_settings to_core(const daemon_settings& settings)
{
    observer_settings core;
    core.self = observer_info{settings.host.name, settings.host.place,
                              settings.host.region};
    for (const control_peer& peer : settings.control->peers)
    {
        if (peer.host != settings.host.name)
        {
            core.peers.push_back(
                observer_info{peer.host, peer.place, peer.region});
        }
    }
    const lease_scale scale(settings);
    core.lease = scale(core.lease);
    core.expiry_delay = scale(core.expiry_delay);
    core.heartbeat_interval = scale(core.heartbeat_interval);
    core.digest_interval = scale(core.digest_interval);
    core.start_digest_interval = scale(core.start_digest_interval);
    core.peer_timeout = scale(core.peer_timeout);
    core.orphan_grace = scale(core.orphan_grace);
    core.expiry_window = scale(core.expiry_window);
    core.confirm_after = scale(core.confirm_after);
    core.report_wait = scale(core.report_wait);
    core.detection_interval = scale(core.detection_interval);
    core.start_grace = scale(core.start_grace);
    return core;
}

publisher_settings to_publisher(const daemon_settings& settings)
{
    publisher_settings core;
    core.bytes_per_second = settings.pacing_bytes_per_second;
    core.burst_bytes = settings.pacing_bytes_per_second;
    const lease_scale scale(settings);
    core.digest_interval = scale(core.digest_interval);
    core.stale_after = scale(core.stale_after);
    core.waiting_timeout = scale(core.waiting_timeout);
    return core;
}

} // namespace

bool granted_announcements::may_announce(const key_identity& key,
                                         service_id service) const
{
    if (m_authenticator == nullptr)
    {
        return true;
    }
    const std::shared_ptr<const key_grants> grants = m_authenticator->grants();
    const key_grant* grant = grants->find(key.value());
    if (grant == nullptr)
    {
        return false;
    }
    return is_balancer_group(service) ? grant->allows(node_role::balancer_node)
                                      : grant->allows(service);
}

membership_controller::membership_controller(
    const daemon_settings& settings, control_links& links,
    const zap_authenticator* authenticator, log_sink& log, std::uint64_t seed,
    time_point now)
    : m_links(links)
    , m_log(log)
    , m_core(to_core(settings), to_publisher(settings), seed, now)
    , m_gate(granted_announcements(authenticator))
    , m_own{settings.host.name, settings.host.place, settings.host.region}
{
    for (const control_peer& peer : settings.control->peers)
    {
        m_named.push_back(observer_info{peer.host, peer.place, peer.region});
    }
}

void membership_controller::handle(time_point now,
                                   const inbound_message& message)
{
    wire::membership_message decoded;
    if (!decoded.ParseFromString(message.bytes))
    {
        m_log.write(log_line(log_level::warning, "membership_message_refused")
                        .field("sender", message.sender.value()));
        return;
    }
    if (message.link == link_kind::peer)
    {
        send(m_core.handle(now, message.sender, decoded));
        return;
    }
    note(now, message.sender, decoded);
    if (!decoded.has_announce() && !decoded.has_renew())
    {
        send(m_core.handle(now, message.sender, decoded));
        return;
    }
    const std::uint64_t refused = m_gate.refused();
    observer_output out =
        m_gate.handle(m_core.observing(), now, message.sender,
                      key_identity(message.public_key), decoded);
    if (m_gate.refused() != refused)
    {
        m_log.write(log_line(log_level::warning, "announcement_refused")
                        .field("sender", message.sender.value()));
    }
    send(m_core.take(now, std::move(out)));
}

void membership_controller::advance(time_point now, const blackboard& board)
{
    if (m_document.changed(board.document))
    {
        m_core.document_changed(board.document.get().publication);
    }
    if (m_evacuations.changed(board.evacuations))
    {
        const applied_evacuations& applied = board.evacuations.get();
        m_core.evacuations_changed(applied.revision, applied.places);
    }
    if (m_members.changed(board.members) && !board.members.get().empty())
    {
        std::vector<observer_info> hosts;
        for (const host_id& host : board.members.get())
        {
            hosts.push_back(info_of(host));
        }
        m_core.set_control_hosts(now, hosts);
    }
    m_core.set_document_age(board.document_age.get());
    m_core.set_document_lag(board.document_lag.get());
    log_publishing(board);
    send(m_core.tick(now));
    log_expired();
    m_nodes.purge(now);
}

// Before the tick, so that those who waited are still counted as such.
void membership_controller::log_publishing(const blackboard& board)
{
    const publisher& publishing = m_core.publishing();
    if (publishing.may_serve_new_nodes() == m_is_sure)
    {
        return;
    }
    m_is_sure = publishing.may_serve_new_nodes();
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        board.document_age.get());
    m_log.write(log_line(log_level::info, "publishing")
                    .field("sure", m_is_sure)
                    .field("version", publishing.version().value())
                    .field("age_ms", age.count())
                    .field("nodes", publishing.nodes())
                    .field("waiting", publishing.waiting()));
}

void membership_controller::log_expired()
{
    for (const expired_lease& each : m_core.observing().take_expired())
    {
        const auto doubted =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                each.suspected_for);
        m_log.write(log_line(log_level::info, "lease_expired")
                        .field("upstream", each.id.value())
                        .field("service", each.service.value())
                        .field("sequence", each.sequence)
                        .field("observer", each.home.value())
                        .field("doubted_ms", doubted.count()));
    }
}

// A host that the settings do not name is taken to be in this host's region:
// nothing tells more of it than its address.
observer_info membership_controller::info_of(const host_id& host) const
{
    for (const observer_info& each : m_named)
    {
        if (each.id == host)
        {
            return each;
        }
    }
    return observer_info{host, m_own.where, m_own.region};
}

// Reads what a node says of the version that is in force there.
void membership_controller::note(time_point now, const host_id& node,
                                 const wire::membership_message& message)
{
    if (message.has_alive() || message.has_attach_request())
    {
        const std::uint64_t version = message.has_alive()
                                          ? message.alive().version()
                                          : message.attach_request().version();
        m_nodes.heard(now, node, config_version(version));
    }
}

void membership_controller::send(const std::vector<membership_send>& sends)
{
    for (const membership_send& each : sends)
    {
        const std::string bytes = each.message.SerializeAsString();
        if (m_links.is_peer(each.to))
        {
            (void)m_links.send_to_peer(each.to, message_channel::membership,
                                       bytes);
            continue;
        }
        (void)m_links.send_to_node(each.to, bytes);
    }
}

} // namespace crowlink::internal
