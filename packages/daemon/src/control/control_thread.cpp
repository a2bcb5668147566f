#include "control/control_thread.hpp"

#include "control/balancer_announcement.hpp"
#include "process/process_identity.hpp"

namespace crowlink::internal
{

namespace
{

constexpr std::size_t most_commands = 1024;
constexpr std::size_t most_messages_a_round = 4096;
// Replicas need time a few times in each heartbeat interval of 200 ms.
constexpr std::chrono::milliseconds control_tick(25);
constexpr std::chrono::milliseconds node_tick(50);
constexpr std::chrono::milliseconds metrics_interval(500);
// A node that uses this control host speaks every few seconds.
constexpr std::chrono::seconds silent_node_period(60);

} // namespace

control_thread::control_thread(std::unique_ptr<control_links> links,
                               log_sink& log, balancer_role* balancer,
                               std::vector<std::unique_ptr<agent_role>>& agents)
    : m_log(log)
    , m_pauses(log, "control")
    , m_links(std::move(links))
    , m_balancer(balancer)
    , m_agents(agents)
    , m_commands(*m_wake, most_commands)
{
}

result<std::unique_ptr<control_thread>> control_thread::open(
    const daemon_settings& settings, const identity& own,
    zmq::context_t& zmq_context, const zap_authenticator* authenticator,
    balancer_role* balancer, std::vector<std::unique_ptr<agent_role>>& agents,
    log_sink& log)
{
    auto links = control_links::open(zmq_context, settings, own, authenticator);
    if (!links)
    {
        return tl::unexpected(links.error());
    }
    std::unique_ptr<control_thread> made(
        new control_thread(std::move(*links), log, balancer, agents));
    if (settings.control)
    {
        const result<void> opened = made->open_control(settings, authenticator);
        if (!opened)
        {
            return tl::unexpected(opened.error());
        }
    }
    if (settings.reach_listen)
    {
        auto reach = reach_controller::open(settings, log);
        if (!reach)
        {
            return tl::unexpected(reach.error());
        }
        made->m_reach = std::move(*reach);
    }
    if (settings.is_node())
    {
        made->open_node(settings);
    }
    return made;
}

result<void>
control_thread::open_control(const daemon_settings& settings,
                             const zap_authenticator* authenticator)
{
    // Zero is no disk.
    const replication::disk_id fresh_disk(random_bits() | 1U);
    auto storage = storage_thread::open(settings.control->data_folder,
                                        fresh_disk, *m_wake);
    if (!storage)
    {
        return tl::unexpected(storage.error());
    }
    m_storage = std::move(*storage);
    const time_point now = m_clock.now();
    m_reader.emplace(*m_wake);
    m_documents.emplace(settings, *m_storage, *m_reader, *m_links, m_log,
                        seeded_random(random_bits()), now);
    m_membership.emplace(settings, *m_links, authenticator, m_log,
                         random_bits(), now);
    return {};
}

void control_thread::open_node(const daemon_settings& settings)
{
    std::vector<upstream_record> records;
    if (m_balancer != nullptr)
    {
        const auto own = announced_balancer(settings, m_balancer->tunnel());
        if (own)
        {
            records.push_back(to_member(*own));
        }
    }
    for (const std::unique_ptr<agent_role>& agent : m_agents)
    {
        if (!agent->is_announced())
        {
            records.push_back(agent->first_record());
        }
    }
    m_node.emplace(settings, *m_links, m_log, std::move(records), random_bits(),
                   m_clock.now());
    if (m_reach)
    {
        m_links->wait_also_for(m_reach->handle());
    }
    if (settings.operator_relay)
    {
        m_relay.emplace(settings.host.name, *m_links, m_log);
    }
}

control_thread::~control_thread()
{
    m_stopping = true;
    m_wake->signal();
    if (m_thread.joinable())
    {
        m_thread.join();
    }
}

void control_thread::set_seeds(std::vector<host_id> seeds)
{
    const bool posted = post([named = std::move(seeds)](context& with)
                             { with.board.seeds.set(named); });
    if (!posted)
    {
        m_log.write(log_line(log_level::warning, "seeds_not_taken")
                        .field("reason", "control is busy"));
    }
}

void control_thread::start()
{
    for (const std::unique_ptr<agent_role>& agent : m_agents)
    {
        agent->wake_on_change(m_wake);
    }
    m_thread = std::thread([this] { run(); });
}

void control_thread::run()
{
    m_board.phase.set(stop_phase::running);
    if (m_documents)
    {
        m_documents->start(m_clock.now(), m_board);
    }
    const duration tick = m_documents ? control_tick : node_tick;
    while (!m_stopping)
    {
        m_links->wait(tick, *m_wake);
        m_pauses.woke(m_clock.now());
        take_messages();
        take_commands();
        const time_point now = m_clock.now();
        advance(now);
        forget_silent_nodes(now);
        publish_metrics(now);
    }
}

// Each message and command sees the time at which it is taken. A process may be
// suspended in the middle of a round; leases that ended meanwhile must not be
// relied upon.
void control_thread::take_messages()
{
    for (std::size_t taken = 0; taken < most_messages_a_round; ++taken)
    {
        const std::optional<inbound_message> message = m_links->next();
        if (!message)
        {
            return;
        }
        const time_point now = m_clock.now();
        if (message->link == link_kind::control)
        {
            m_node->handle(now, *message, m_board);
        }
        else if (m_relay)
        {
            m_relay->handle(*message, *m_node);
        }
        else if (message->channel == message_channel::membership)
        {
            m_membership->handle(now, *message);
        }
        else if (message->link == link_kind::peer)
        {
            m_documents->handle(now, *message, m_board);
        }
    }
    // What is left comes in the next round, at once.
    m_wake->signal();
}

void control_thread::take_commands()
{
    while (const std::optional<command> wanted = m_commands.take())
    {
        context with{m_clock.now(),
                     m_board,
                     m_documents ? &*m_documents : nullptr,
                     m_membership ? &*m_membership : nullptr,
                     m_node ? &*m_node : nullptr,
                     m_agents};
        (*wanted)(with);
    }
}

// Each controller in the order in which values flow from one to the next.
void control_thread::advance(time_point now)
{
    if (m_documents)
    {
        m_documents->advance(now, m_board);
        m_membership->advance(now, m_board);
        m_failed = m_documents->has_failed();
    }
    for (const std::unique_ptr<agent_role>& agent : m_agents)
    {
        agent->read_wanted(m_board);
    }
    if (m_reach)
    {
        m_reach->advance(now, m_board);
    }
    if (m_node)
    {
        m_node->advance(now, m_board);
        m_settled = m_node->settled();
        m_is_informed = m_board.node_version.get() != config_version();
    }
    if (m_balancer != nullptr)
    {
        m_balancer->advance(now, m_board);
    }
    for (const std::unique_ptr<agent_role>& agent : m_agents)
    {
        agent->advance(now, m_board);
    }
}

void control_thread::forget_silent_nodes(time_point now)
{
    if (now >= m_next_silent_nodes)
    {
        m_next_silent_nodes = now + silent_node_period;
        m_links->forget_silent_nodes();
    }
}

void control_thread::publish_metrics(time_point now)
{
    if (now < m_next_metrics)
    {
        return;
    }
    m_next_metrics = now + metrics_interval;
    const auto next = std::make_shared<metrics>(m_links->counters());
    next->count("crowlink_control_commands_refused_total",
                m_commands.refused());
    next->count("crowlink_log_lines_dropped_total", m_log.dropped());
    if (m_documents)
    {
        m_documents->write_times().write_to(
            *next, "crowlink_control_write_milliseconds", "of=\"log\"");
        m_documents->read_times().write_to(
            *next, "crowlink_control_read_milliseconds", "of=\"document\"");
    }
    if (m_membership)
    {
        const membership_host& core = m_membership->core();
        next->count("crowlink_control_members", core.observing().living());
        next->count("crowlink_control_leases", core.observing().leases());
        next->count("crowlink_control_nodes", core.publishing().nodes());
        next->count("crowlink_control_nodes_heard", m_links->nodes_heard());
        next->count("crowlink_control_document_version",
                    m_board.document.get().version.value());
    }
    if (m_node)
    {
        const subscriber& subscribed = m_node->subscribed();
        next->count("crowlink_node_document_version",
                    subscribed.applied_version().value());
        next->count("crowlink_node_control_bytes_total", subscribed.bytes());
        next->count("crowlink_node_control_connections",
                    m_links->control_connections());
        next->count("crowlink_node_control_connections_opened_total",
                    m_node->connections().opened());
        next->count("crowlink_node_snapshots_total", subscribed.snapshots());
        next->count("crowlink_node_reattachments_total",
                    subscribed.reattachments());
    }
    m_metrics.publish(next);
}

} // namespace crowlink::internal
