#include "control/node_controller.hpp"

#include "control/balancer_announcement.hpp"
#include "control/lease_scale.hpp"

#include "crowlink/membership/balancer_record.hpp"
#include "process/process_identity.hpp"

#include <algorithm>
#include <set>

namespace crowlink::internal
{

namespace
{

// The failure of a single publisher, which the subscriber replaces within this
// time, does not make control stale.
duration failover_time()
{
    const subscriber_settings defaults;
    return defaults.silence_timeout + defaults.answer_timeout;
}

std::vector<observer_info> control_hosts(const daemon_settings& settings)
{
    std::vector<observer_info> hosts;
    for (const control_endpoint& each : settings.control_endpoints)
    {
        hosts.push_back(observer_info{each.host, each.place, each.region});
    }
    if (hosts.empty())
    {
        hosts.push_back(observer_info{settings.host.name, settings.host.place,
                                      settings.host.region});
    }
    return hosts;
}

interest wanted_by(const daemon_settings& settings)
{
    interest wants;
    wants.all_services = settings.balancer.has_value();
    if (!wants.all_services)
    {
        for (const agent_role_settings& agent : settings.agents)
        {
            wants.services.push_back(agent.service);
        }
        std::sort(wants.services.begin(), wants.services.end());
        wants.services.erase(
            std::unique(wants.services.begin(), wants.services.end()),
            wants.services.end());
    }
    // Agents of flow packets answer callers by themselves. Balancers announce
    // themselves there too, for each other, and not as return addresses.
    const bool answers_through_balancers = std::any_of(
        settings.agents.begin(), settings.agents.end(),
        [](const agent_role_settings& agent) { return !agent.flow_packets; });
    if (answers_through_balancers)
    {
        wants.balancers_in.push_back(settings.host.place);
    }
    if (shares_rotation(settings))
    {
        wants.unlisted_balancers_in.push_back(settings.host.place);
    }
    return wants;
}

subscriber_settings to_subscriber(const daemon_settings& settings)
{
    subscriber_settings core;
    core.wants = wanted_by(settings);
    core.publishers = control_hosts(settings);
    core.self = node_name(settings);
    core.region = settings.host.region;
    const lease_scale scale(settings);
    core.silence_timeout = scale(core.silence_timeout);
    core.answer_timeout = scale(core.answer_timeout);
    core.kept_request_timeout = scale(core.kept_request_timeout);
    core.stale_after = scale(core.stale_after);
    core.alive_interval = scale(core.alive_interval);
    core.behind_timeout = scale(core.behind_timeout);
    core.backoff_first = scale(core.backoff_first);
    core.backoff_limit = scale(core.backoff_limit);
    core.start_spread = scale(core.start_spread);
    core.return_after = scale(core.return_after);
    return core;
}

connection_settings to_connections(const daemon_settings& settings)
{
    connection_settings core;
    const lease_scale scale(settings);
    core.release_delay = scale(core.release_delay);
    core.retry_wait = scale(core.retry_wait);
    return core;
}

announcer_settings to_announcer(const daemon_settings& settings)
{
    announcer_settings core;
    core.observers = control_hosts(settings);
    core.region = settings.host.region;
    const lease_scale scale(settings);
    core.renewal_interval = scale(core.renewal_interval);
    core.answer_timeout = scale(core.answer_timeout);
    core.start_spread = scale(core.start_spread);
    core.backoff_first = scale(core.backoff_first);
    core.backoff_limit = scale(core.backoff_limit);
    core.return_after = scale(core.return_after);
    return core;
}

} // namespace

node_controller::node_controller(const daemon_settings& settings,
                                 control_links& links, log_sink& log,
                                 std::vector<upstream_record> records,
                                 std::uint64_t seed, time_point now)
    : m_links(links)
    , m_log(log)
    , m_beliefs(log)
    , m_subscriber(to_subscriber(settings), seed, now)
    , m_announcing(to_announcer(settings))
    , m_connections(to_connections(settings))
    , m_seed(seed)
    , m_where(settings.host.place)
    , m_shares_rotation(shares_rotation(settings))
    , m_longest_age(lease_scale(settings)(failover_time()))
{
    for (upstream_record& record : records)
    {
        m_announcers.emplace_back(m_announcing, std::move(record), ++m_seed,
                                  now);
    }
    if (!settings.seeds)
    {
        m_connections.set_hosts(m_subscriber.order());
    }
}

void node_controller::handle(time_point now, const inbound_message& message,
                             blackboard& board)
{
    wire::membership_message decoded;
    if (!decoded.ParseFromString(message.bytes))
    {
        m_log.write(log_line(log_level::warning, "membership_message_refused")
                        .field("sender", message.sender.value()));
        return;
    }
    if (!decoded.has_answer())
    {
        take(now, m_subscriber.handle(now, message.sender, decoded), board);
        return;
    }
    announcer* asked = find(decoded.answer().service(), decoded.answer().id());
    if (asked == nullptr)
    {
        return;
    }
    const bool was_forbidden = asked->forbidden();
    send(now, asked->handle(now, message.sender, decoded));
    if (asked->forbidden() && !was_forbidden)
    {
        m_log.write(log_line(log_level::error, "announcement_forbidden")
                        .field("upstream", asked->record().id.value())
                        .field("service", asked->record().service.value()));
    }
}

void node_controller::advance(time_point now, blackboard& board)
{
    if (m_wanted.changed(board.wanted) || m_phase.changed(board.phase))
    {
        add_announcers(now, board);
        change_records(now, board);
    }
    if (m_seeds.changed(board.seeds) || m_is_hosts_due)
    {
        follow_hosts(now, board);
    }
    for (announcer& each : m_announcers)
    {
        send(now, each.tick(now));
    }
    follow_connections(now);
    if (m_unreachable.changed(board.unreachable))
    {
        const unreachable_places& now_known = board.unreachable.get();
        take(now,
             m_subscriber.set_unreachable(now_known.all, now_known.given_up),
             board);
    }
    follow_better_publisher(now, board);
    take(now, m_subscriber.tick(now), board);
    m_beliefs.tell(m_subscriber, m_announcers);
    board.node_version.set(m_subscriber.applied_version());
    if (m_shares_rotation)
    {
        publish_entry_hosts(now, board);
    }
}

void node_controller::publish_entry_hosts(time_point now, blackboard& board)
{
    board.is_control_current.set(is_current(now));
    const std::uint64_t revision = m_subscriber.state().balancers_revision();
    if (m_balancers_revision == revision)
    {
        return;
    }
    m_balancers_revision = revision;
    std::vector<host_capacity> hosts;
    for (const upstream_record& each : m_subscriber.state().balancers(m_where))
    {
        hosts.push_back(host_capacity{host_id(each.id.value()), each.weight});
    }
    board.entry_hosts.set(std::move(hosts));
}

// A publisher that can't confirm its document may be cut off from the other
// control hosts, and with them from the hosts that announce themselves there.
bool node_controller::is_current(time_point now) const
{
    const staleness age = m_subscriber.age(now);
    const bool is_region_cut =
        std::any_of(age.regions.begin(), age.regions.end(),
                    [this](const region_age& each)
                    { return each.region == m_announcing.region; });
    return age.document <= m_longest_age && !is_region_cut;
}

bool node_controller::settled() const
{
    return std::all_of(m_announcers.begin(), m_announcers.end(),
                       [](const announcer& each) { return each.accepted(); });
}

void node_controller::send(time_point now,
                           const std::vector<membership_send>& sends)
{
    const std::set<host_id> used = used_hosts(now);
    for (const membership_send& each : sends)
    {
        if (used.count(each.to) != 0)
        {
            m_links.reach_control(each.to);
        }
        // To a host that was left before, it is sent if there is a connection.
        (void)m_links.send_to_control(each.to,
                                      each.message.SerializeAsString());
    }
}

void node_controller::take(time_point now, const subscriber_output& out,
                           blackboard& board)
{
    send(now, out.sends);
    if (out.control_hosts)
    {
        m_learned = *out.control_hosts;
        m_is_hosts_due = true;
    }
    if (out.changed.empty() && out.removed.empty())
    {
        return;
    }
    service_views views = board.views.get();
    for (const service_view& view : out.changed)
    {
        views[view.declared.id] = std::make_shared<const service_view>(view);
        m_log.write(log_line(log_level::debug, "service_view")
                        .field("service", view.declared.id.value())
                        .field("version", view.version.value())
                        .field("members", view.members.size()));
    }
    for (const service_id& gone : out.removed)
    {
        views.erase(gone);
    }
    board.views.set(std::move(views));
}

void node_controller::introduce(const host_id& host)
{
    const bool is_known =
        std::find(m_learned.begin(), m_learned.end(), host) != m_learned.end();
    if (!is_known)
    {
        m_learned.push_back(host);
        m_is_hosts_due = true;
    }
}

// Upstreams that announce themselves are known only when they do.
void node_controller::add_announcers(time_point now, const blackboard& board)
{
    for (const auto& [id, record] : board.wanted.get())
    {
        if (find(record.service.value(), id.value()) == nullptr)
        {
            announcer_settings announcing = m_announcing;
            announcing.raises_incarnation = false;
            m_announcers.emplace_back(std::move(announcing), record, ++m_seed,
                                      now);
        }
    }
}

void node_controller::change_records(time_point now, const blackboard& board)
{
    const stop_phase phase = board.phase.get();
    for (announcer& each : m_announcers)
    {
        upstream_state state = each.record().state;
        std::uint32_t weight = each.record().weight;
        const auto wanted = board.wanted.get().find(each.record().id);
        const bool announces_itself = !each.raises_incarnation();
        if (wanted != board.wanted.get().end())
        {
            state = wanted->second.state;
            weight = wanted->second.weight;
            if (announces_itself &&
                each.given_start() != wanted->second.started)
            {
                send(now, each.restart(now, wanted->second));
            }
        }
        // A balancer leaves first and serves on, so that agents find others. An
        // upstream that announces itself lives on when its agent stops: it
        // stays draining, since flows of one that is gone would be reset.
        const bool leaves =
            (phase == stop_phase::leaving && !announces_itself) ||
            (phase == stop_phase::draining &&
             is_balancer_group(each.record().service));
        if (leaves)
        {
            state = upstream_state::gone;
        }
        if (state != each.record().state || weight != each.record().weight)
        {
            send(now, each.change(now, state, weight));
        }
    }
}

announcer* node_controller::find(std::uint32_t service, const std::string& id)
{
    for (announcer& each : m_announcers)
    {
        if (each.record().service.value() == service &&
            each.record().id.value() == id)
        {
            return &each;
        }
    }
    return nullptr;
}

} // namespace crowlink::internal
