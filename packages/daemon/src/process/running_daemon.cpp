#include "process/running_daemon.hpp"

#include "crowlink/platform/find_upstream.hpp"
#include "process/platform_calls.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace crowlink::internal
{

namespace
{

// Withdrawn records are heard within this time, or control can't be reached.
constexpr std::chrono::seconds leave_patience(3);
// An operator calls again after a second, elsewhere; up to eight calls are
// under way at once.
constexpr std::size_t operator_threads = 8;
// A relay's answers wait for nothing.
constexpr std::size_t relay_threads = 2;
// The fabric may hand packets to a balancer that left for a while.
constexpr std::chrono::seconds balancer_grace(3);

// Hosts that are known by their addresses are named by them.
std::vector<host_id> seed_names(const daemon_settings& settings)
{
    std::vector<host_id> names;
    if (settings.seeds)
    {
        for (const endpoint& each : settings.seeds->hosts)
        {
            names.emplace_back(each.address.to_string());
        }
    }
    return names;
}

std::vector<std::string> texts(const std::vector<host_id>& hosts)
{
    std::vector<std::string> out;
    out.reserve(hosts.size());
    for (const host_id& each : hosts)
    {
        out.push_back(each.value());
    }
    return out;
}

struct platform_address
{
    endpoint listen;
    platform::http_calls calls;
    std::size_t threads = 0;
};

} // namespace

running_daemon::running_daemon(const daemon_settings& settings, log_sink& log)
    : m_settings(settings), m_log(log)
{
}

result<std::unique_ptr<running_daemon>>
running_daemon::start(const daemon_settings& settings, log_sink& log)
{
    std::unique_ptr<running_daemon> made(new running_daemon(settings, log));
    const result<void> opened = made->open();
    if (!opened)
    {
        return tl::unexpected(opened.error());
    }
    made->log_started();
    return made;
}

result<void> running_daemon::open()
{
    result<identity> own = load_identity(m_settings);
    if (!own)
    {
        return tl::unexpected(own.error());
    }
    m_identity = std::move(*own);
    if (m_identity.pair && m_settings.control)
    {
        m_authenticator =
            std::make_unique<zap_authenticator>(m_zmq, m_identity.grants);
    }
    result<void> traffic = open_traffic();
    if (!traffic)
    {
        return traffic;
    }
    auto control = control_thread::open(m_settings, m_identity, m_zmq,
                                        m_authenticator.get(), m_balancer.get(),
                                        m_agents, m_log);
    if (!control)
    {
        return tl::unexpected(control.error());
    }
    m_control = std::move(*control);
    m_control->set_seeds(seed_names(m_settings));
    m_control->start();
    return open_http();
}

result<void> running_daemon::open_traffic()
{
    if (m_settings.balancer)
    {
        auto opened =
            balancer_role::open(m_settings, m_identity.packet_keys, m_log);
        if (!opened)
        {
            return tl::unexpected(opened.error());
        }
        m_balancer = std::move(*opened);
    }
    for (const agent_role_settings& own : m_settings.agents)
    {
        auto opened =
            agent_role::open(m_settings, own, m_identity.packet_keys, m_log);
        if (!opened)
        {
            return tl::unexpected(opened.error());
        }
        m_agents.push_back(std::move(*opened));
    }
    return {};
}

result<void> running_daemon::open_http()
{
    if (m_settings.control && m_settings.control->http)
    {
        m_backend.emplace(m_settings, *m_control,
                          [this] { return render_metrics(); });
        console_settings http;
        http.listen = *m_settings.control->http;
        http.tokens = m_settings.control->tokens_file;
        if (m_settings.control->tls)
        {
            http.certificate = m_settings.control->tls->certificate;
            http.private_key = m_settings.control->tls->key;
        }
        m_console = std::make_unique<console>(http, *m_backend);
        const result<endpoint> bound = m_console->start();
        if (!bound)
        {
            return tl::unexpected(bound.error());
        }
        m_log.write(log_line(log_level::info, "http_listening")
                        .field("address", bound->to_string()));
    }
    result<void> opened_platform = open_platform();
    if (!opened_platform)
    {
        return opened_platform;
    }
    if (m_settings.health)
    {
        auto opened = health_server::start(
            *m_settings.health, [this] { return render_metrics(); },
            [this] { return m_control->settled(); });
        if (!opened)
        {
            return tl::unexpected(opened.error());
        }
        m_health = std::move(*opened);
    }
    return {};
}

// Each address has a server of its own, so that a slow call on one keeps none
// of the others waiting.
result<void> running_daemon::open_platform()
{
    std::vector<platform_address> wanted;
    if (m_settings.platform_ready)
    {
        platform::http_calls calls;
        calls.is_ready = [this]
        {
            return is_ready();
        };
        wanted.push_back({*m_settings.platform_ready, std::move(calls), 2});
    }
    if (m_settings.control && m_settings.control->platform_listen)
    {
        wanted.push_back({*m_settings.control->platform_listen,
                          operator_calls(*m_control, m_settings),
                          operator_threads});
    }
    if (m_settings.operator_relay)
    {
        wanted.push_back({*m_settings.operator_relay, relay_calls(*m_control),
                          relay_threads});
    }
    for (std::size_t at = 0; at < m_agents.size(); ++at)
    {
        const auto& packets = m_settings.agents[at].flow_packets;
        if (packets)
        {
            wanted.push_back(
                {packets->announcements, upstream_calls(*m_agents[at]), 2});
        }
    }
    find_upstreams();
    for (platform_address& each : wanted)
    {
        auto opened = platform::http_port::start(
            each.listen, std::move(each.calls), each.threads);
        if (!opened)
        {
            return tl::unexpected(opened.error());
        }
        m_platform.push_back(std::move(*opened));
    }
    return {};
}

// An agent that restarts beside a living upstream serves its flows at once
// instead of after the next announcement.
void running_daemon::find_upstreams()
{
    for (std::size_t at = 0; at < m_agents.size(); ++at)
    {
        const agent_role_settings& own = m_settings.agents[at];
        if (!own.flow_packets || own.flow_packets->health_path.empty())
        {
            continue;
        }
        m_finding.emplace_back(
            [this, at, &own]
            {
                const auto found = platform::find_upstream(
                    own.upstream_address, own.flow_packets->health_path);
                if (found)
                {
                    m_agents[at]->found(m_clock.now(), found->id,
                                        found->leaves);
                }
            });
    }
}

running_daemon::~running_daemon()
{
    for (std::thread& each : m_finding)
    {
        each.join();
    }
}

bool running_daemon::is_ready() const
{
    const bool is_in_rotation = !m_balancer || m_balancer->is_in_rotation();
    return !m_is_leaving && m_control->is_informed() && is_in_rotation;
}

void running_daemon::reload(const daemon_settings& fresh)
{
    if (fresh.seeds != m_settings.seeds)
    {
        m_settings.seeds = fresh.seeds;
        m_control->set_seeds(seed_names(m_settings));
    }
    m_log.write(log_line(log_level::info, "reloaded")
                    .field("seeds", fmt::to_string(fmt::join(
                                        texts(seed_names(m_settings)), ","))));
}

void running_daemon::reload_grants()
{
    if (m_authenticator == nullptr)
    {
        return;
    }
    const result<identity> fresh = load_identity(m_settings);
    if (!fresh)
    {
        m_log.write(log_line(log_level::error, "grants_refused")
                        .field("error", to_string(fresh.error())));
        return;
    }
    m_authenticator->replace(fresh->grants);
    m_log.write(log_line(log_level::info, "grants_replaced")
                    .field("keys", fresh->grants.size()));
}

void running_daemon::drain()
{
    duration longest{};
    for (const std::unique_ptr<agent_role>& agent : m_agents)
    {
        longest = std::max(longest, agent->drain_time());
    }
    m_is_leaving = true;
    const time_point now = m_clock.now();
    m_drain_until = now + longest;
    m_serve_until = now + (m_balancer ? balancer_grace : duration());
    m_log.write(log_line(log_level::info, "draining").field("flows", flows()));
    set_phase(stop_phase::draining);
}

bool running_daemon::drained() const
{
    return flows() == 0 || m_clock.now() >= m_drain_until;
}

void running_daemon::leave()
{
    m_leave_until = m_clock.now() + leave_patience;
    m_log.write(log_line(log_level::info, "leaving").field("flows", flows()));
    set_phase(stop_phase::leaving);
}

bool running_daemon::left() const
{
    const time_point now = m_clock.now();
    const bool withdrawn = m_control->settled() || now >= m_leave_until;
    return withdrawn && now >= m_serve_until;
}

void running_daemon::set_phase(stop_phase phase)
{
    // The answer says that the control thread has taken it in.
    (void)m_control->ask<bool>(
        [phase](control_thread::context& with)
        {
            with.board.phase.set(phase);
            if (with.node != nullptr)
            {
                with.node->advance(with.now, with.board);
            }
            for (const std::unique_ptr<agent_role>& agent : with.agents)
            {
                agent->advance(with.now, with.board);
            }
            return true;
        });
}

std::size_t running_daemon::flows() const
{
    std::size_t open = 0;
    for (const std::unique_ptr<agent_role>& agent : m_agents)
    {
        open += agent->flows();
    }
    return open;
}

std::string running_daemon::render_metrics() const
{
    metrics all;
    if (const auto control = m_control->counters())
    {
        all.add(*control);
    }
    if (m_balancer)
    {
        for (const metrics_slot::pointer& each : m_balancer->reports())
        {
            all.add(*each);
        }
    }
    for (const std::unique_ptr<agent_role>& agent : m_agents)
    {
        if (const metrics_slot::pointer report = agent->report())
        {
            all.add(*report);
        }
    }
    return all.render();
}

void running_daemon::log_started() const
{
    m_log.write(log_line(log_level::info, "started")
                    .field("host", m_settings.host.name.value())
                    .field("control", m_settings.control.has_value())
                    .field("balancer", m_settings.balancer.has_value())
                    .field("agents", m_agents.size())
                    .field("relay", m_settings.operator_relay.has_value()));
}

} // namespace crowlink::internal
