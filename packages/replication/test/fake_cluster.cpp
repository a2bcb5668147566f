#include "fake_cluster.hpp"

#include <algorithm>
#include <utility>

namespace crowlink::replication
{

namespace
{

// All clock rates are within max_clock_ratio of each other.
constexpr double slowest_clock = 0.96;
constexpr double clock_rate_step = 0.02;
constexpr unsigned clock_rates = 5;
constexpr std::uint64_t max_delay_steps = 3;

replica_settings test_settings(std::size_t voters, std::size_t hosts)
{
    replica_settings settings;
    for (std::size_t i = 0; i < hosts; ++i)
    {
        settings.peers.push_back(fake_cluster::name(i));
    }
    settings.founding_voters.assign(settings.peers.begin(),
                                    settings.peers.begin() +
                                        static_cast<std::ptrdiff_t>(voters));
    // Small, so that short runs include snapshots of several chunks.
    settings.compact_after_entries = 8;
    settings.keep_entries = 2;
    settings.snapshot_chunk_bytes = 200;
    settings.max_append_bytes = 400;
    return settings;
}

} // namespace

host_id fake_cluster::name(std::size_t host)
{
    return host_id("h" + std::to_string(host));
}

fake_cluster::fake_cluster(std::size_t voters, std::size_t spares,
                           std::uint64_t seed, cluster_rules rules)
    : m_rules(std::move(rules))
    , m_random(seed)
    , m_settings(test_settings(voters, voters + spares))
    , m_hosts(voters + spares)
{
    if (!m_rules.seeds.empty())
    {
        m_settings.founding_voters.clear();
        m_settings.peers.clear();
        founding_settings& founding = m_settings.founding.emplace();
        founding.wanted_voters = voters;
        founding.least_voters = voters;
        for (const std::size_t at : m_rules.seeds)
        {
            founding.seeds.push_back(name(at));
            m_settings.peers.push_back(name(at));
        }
    }
    for (std::size_t i = 0; i < m_hosts.size(); ++i)
    {
        m_hosts[i].clock_rate =
            slowest_clock +
            clock_rate_step * static_cast<double>(m_random() % clock_rates);
        restart(i);
    }
}

time_point fake_cluster::now(const fake_host& host) const
{
    const auto passed =
        static_cast<double>(m_step * step_length.count()) * host.clock_rate;
    return time_point(duration(static_cast<duration::rep>(passed)));
}

void fake_cluster::step()
{
    ++m_step;
    m_checker.at(time_point(step_length * m_step));
    deliver();
    for (std::size_t i = 0; i < m_hosts.size(); ++i)
    {
        write(i);
        event(i, tick{});
        follow_members(i);
        apply_voter_policy(i);
    }
    check();
}

// A control host does this four times a second.
void fake_cluster::apply_voter_policy(std::size_t host)
{
    constexpr std::uint64_t policy_steps = 25;
    if (!m_rules.voters || !up(host) || m_step % policy_steps != 0)
    {
        return;
    }
    const auto change = voter_policy(*m_rules.voters).decide(status(host));
    if (change)
    {
        change_members(host, *change);
    }
}

void fake_cluster::run(std::size_t steps)
{
    for (std::size_t i = 0; i < steps; ++i)
    {
        step();
    }
}

bool fake_cluster::run_until(const std::function<bool()>& reached,
                             std::size_t steps)
{
    bool done = reached();
    for (std::size_t i = 0; i < steps && !done; ++i)
    {
        step();
        done = reached();
    }
    return done;
}

void fake_cluster::deliver()
{
    std::deque<fake_message> waiting;
    std::vector<replica_message> due;
    for (fake_message& one : m_network)
    {
        if (one.due <= m_step)
        {
            due.push_back(std::move(one.message));
            continue;
        }
        waiting.push_back(std::move(one));
    }
    m_network = std::move(waiting);
    std::shuffle(due.begin(), due.end(), m_random);
    for (const replica_message& one : due)
    {
        const std::size_t to = index_of(one.to);
        relay(to, one);
        event(to, message_received{one});
    }
}

// What a control process without a disk does.
void fake_cluster::relay(std::size_t host, const replica_message& message)
{
    if (!m_hosts[host].relay)
    {
        return;
    }
    fake_relay& at = *m_hosts[host].relay;
    if (const auto* request = std::get_if<founding_request>(&message.body))
    {
        const bool may_answer =
            !at.knows_of_a_log || at.acceptor.has_accepted();
        if (may_answer && request->phase != founding_phase::decided)
        {
            transmit(replica_message{name(host), disk_id(), message.from,
                                     message.from_disk, 0, 0,
                                     at.acceptor.handle(*request)},
                     name(host));
        }
        return;
    }
    const auto* said = std::get_if<hello>(&message.body);
    if (said == nullptr)
    {
        return;
    }
    at.knows_of_a_log = at.knows_of_a_log || !said->blank;
    at.introduced.insert(message.from);
    for (const host_id& known : at.introduced)
    {
        if (known != message.from)
        {
            replica_message passed = message;
            passed.to = known;
            transmit(passed, name(host));
        }
    }
}

// With seeds a host learns of the others.
void fake_cluster::follow_members(std::size_t host)
{
    if (m_rules.seeds.empty() || !up(host))
    {
        return;
    }
    const replica_status status = this->status(host);
    std::set<host_id> all(m_settings.peers.begin(), m_settings.peers.end());
    for (const member_status& one : status.members)
    {
        all.insert(one.who.host);
    }
    for (const non_member_status& one : status.non_members)
    {
        all.insert(one.host);
    }
    all.erase(name(host));
    m_hosts[host].document->set_peers({all.begin(), all.end()});
}

void fake_cluster::write(std::size_t host)
{
    fake_host& at = m_hosts[host];
    if (!at.document || at.writes.empty() || at.writes.front().first > m_step)
    {
        return;
    }
    const persist_request request = std::move(at.writes.front().second);
    at.writes.pop_front();
    const result<void> done = at.storage->write(request);
    if (at.disk.halted())
    {
        end_process(host, m_random() % 2 == 0);
    }
    else if (done)
    {
        event(host, storage_done{request.sequence});
    }
    else
    {
        event(host, storage_failed{done.error()});
    }
}

void fake_cluster::event(std::size_t host, const document_event& one)
{
    fake_host& at = m_hosts[host];
    if (at.document)
    {
        perform_effects(host, at.document->handle(now(at), one));
    }
}

void fake_cluster::perform_effects(std::size_t host,
                                   const std::vector<document_effect>& effects)
{
    for (const document_effect& effect : effects)
    {
        if (const auto* sent = std::get_if<send_message>(&effect))
        {
            transmit(sent->message, sent->message.from);
        }
        else if (const auto* kept = std::get_if<persist>(&effect))
        {
            m_hosts[host].writes.emplace_back(m_step + m_random() % 3 +
                                                  m_hosts[host].disk_delay,
                                              kept->request);
        }
        else if (const auto* reply = std::get_if<change_answered>(&effect))
        {
            const auto order = m_order_requests.find(reply->request);
            if (order != m_order_requests.end())
            {
                m_order_answers[order->second] = reply->outcome;
                m_checker.order_answered(order->second, reply->outcome);
                continue;
            }
            const operation_id& operation = m_requests.at(reply->request);
            m_answers[operation.value()] = reply->outcome;
            m_checker.answered(operation, reply->outcome);
        }
        else if (const auto* members =
                     std::get_if<membership_answered>(&effect))
        {
            m_members_answer = members->outcome;
        }
    }
}

void fake_cluster::transmit(const replica_message& message,
                            const host_id& sender)
{
    const std::pair way(index_of(sender), index_of(message.to));
    if (m_blocked.count(way) != 0 || m_random() % 100 < m_loss)
    {
        return;
    }
    const std::size_t copies = m_random() % 100 < m_duplication ? 2 : 1;
    for (std::size_t i = 0; i < copies; ++i)
    {
        m_network.push_back(
            fake_message{m_step + 1 + m_random() % max_delay_steps, message});
    }
}

void fake_cluster::check()
{
    for (const fake_host& host : m_hosts)
    {
        if (host.document)
        {
            const time_point at = now(host);
            const replica_status status = host.document->status(at);
            m_checker.check_replica(status, host.document->store(),
                                    host.document->can_read(at));
            m_checker.check_age(status.self, host.document->store(),
                                status.document_age);
            if (host.document->can_read(at))
            {
                m_checker.check_evacuated(
                    status.self,
                    !host.document->evacuated().in_force().empty());
            }
        }
    }
}

std::size_t fake_cluster::index_of(const host_id& host)
{
    std::size_t index = 0;
    while (name(index) != host)
    {
        ++index;
    }
    return index;
}

void fake_cluster::propose(std::size_t host, const std::string& operation,
                           std::uint64_t base)
{
    const document_change change{config_version(base), operation_id(operation),
                                 "operator", "document of " + operation};
    m_changes.emplace(operation, change);
    m_checker.proposed(change);
    resend(host, operation);
}

void fake_cluster::resend(std::size_t host, const std::string& operation)
{
    const std::uint64_t request = m_next_request++;
    m_requests.emplace(request, operation);
    event(host, propose_change{request, m_changes.at(operation)});
}

const change_outcome* fake_cluster::answer(const std::string& operation) const
{
    const auto found = m_answers.find(operation);
    return found == m_answers.end() ? nullptr : &found->second;
}

std::optional<std::size_t> fake_cluster::prepare_order(std::size_t host,
                                                       bool evacuates)
{
    if (!up(host) || !may_read(host))
    {
        return std::nullopt;
    }
    evacuation_change order;
    order.where = place_id("north");
    order.evacuates = evacuates;
    order.base = m_hosts[host].document->evacuated().revision();
    order.operator_name = "operator";
    m_orders.push_back(order);
    m_checker.order_prepared(m_orders.size() - 1, evacuates);
    return m_orders.size() - 1;
}

void fake_cluster::propose_order(std::size_t host, std::size_t order)
{
    const std::uint64_t request = m_next_request++;
    m_order_requests.emplace(request, order);
    event(host, propose_evacuation{request, m_orders[order]});
}

std::optional<std::size_t> fake_cluster::issue_order(std::size_t host,
                                                     bool evacuates)
{
    const auto order = prepare_order(host, evacuates);
    if (order)
    {
        propose_order(host, *order);
    }
    return order;
}

const change_outcome* fake_cluster::order_answer(std::size_t order) const
{
    const auto found = m_order_answers.find(order);
    return found == m_order_answers.end() ? nullptr : &found->second;
}

bool fake_cluster::evacuated(std::size_t host) const
{
    return !m_hosts[host].document->evacuated().in_force().empty();
}

void fake_cluster::change_members(std::size_t host, member_change change)
{
    event(host, propose_membership{m_next_request++, std::move(change)});
}

void fake_cluster::crash(std::size_t host)
{
    end_process(host, true);
}

// Ends a process by a loss of power, or by a kill that leaves its disk as it
// is.
void fake_cluster::end_process(std::size_t host, bool loses_power)
{
    fake_host& at = m_hosts[host];
    at.document.reset();
    at.relay.reset();
    at.storage.reset();
    at.writes.clear();
    if (loses_power)
    {
        at.disk.crash(m_random);
        return;
    }
    at.disk.restart_process();
}

void fake_cluster::restart(std::size_t host)
{
    fake_host& at = m_hosts[host];
    if (at.document)
    {
        return;
    }
    if (m_rules.relays.count(host) != 0)
    {
        at.relay.emplace();
        return;
    }
    storage_settings storage;
    storage.segment_bytes = 600;
    storage.sync = m_rules.sync;
    auto opened =
        log_storage<fake_disk>::open(at.disk, disk_id(m_random() | 1), storage);
    if (!opened)
    {
        // Power may fail again while the folder is read, but no crash may leave
        // a folder that cannot be opened.
        if (!at.disk.halted())
        {
            m_checker.report(to_string(opened.error()));
        }
        at.disk.crash(m_random);
        return;
    }
    at.storage.emplace(*std::move(opened));
    replica_settings settings = m_settings;
    settings.self = name(host);
    settings.admit_observers = m_rules.admit_observers;
    const auto self =
        std::find(settings.peers.begin(), settings.peers.end(), settings.self);
    if (self != settings.peers.end())
    {
        settings.peers.erase(self);
    }
    store_limits limits;
    limits.history_versions = 100000;
    at.document.emplace(settings, at.storage->take_restored(), now(at),
                        seeded_random(m_random()), limits, m_rules.replica,
                        m_rules.store);
    m_checker.restarted(settings.self);
    perform_effects(host, at.document->start());
}

void fake_cluster::lose_disk(std::size_t host)
{
    crash(host);
    m_hosts[host].disk = fake_disk();
}

void fake_cluster::slow_disk(std::size_t host, std::uint64_t steps)
{
    m_hosts[host].disk_delay = steps;
}

void fake_cluster::isolate(std::size_t host)
{
    for (std::size_t i = 0; i < m_hosts.size(); ++i)
    {
        block(host, i);
        block(i, host);
    }
}

void fake_cluster::block(std::size_t from, std::size_t to)
{
    m_blocked.emplace(from, to);
}

void fake_cluster::set_message_faults(unsigned loss, unsigned duplication)
{
    m_loss = loss;
    m_duplication = duplication;
}

std::optional<std::size_t> fake_cluster::leader() const
{
    std::optional<std::size_t> found;
    term_number newest = 0;
    for (std::size_t i = 0; i < m_hosts.size(); ++i)
    {
        if (up(i) && status(i).role == replica_role::leader &&
            status(i).term > newest)
        {
            found = i;
            newest = status(i).term;
        }
    }
    return found;
}

replica_status fake_cluster::status(std::size_t host) const
{
    return m_hosts[host].document->status(now(m_hosts[host]));
}

std::uint64_t fake_cluster::version(std::size_t host) const
{
    return m_hosts[host].document->store().current_version().value();
}

} // namespace crowlink::replication
