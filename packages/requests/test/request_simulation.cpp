#include "request_simulation.hpp"

namespace crowlink::test
{

namespace
{

constexpr path_index path_count = 3;
constexpr std::uint32_t slot_count = 4;

flow_key flow_of(path_index path)
{
    flow_key flow;
    flow.caller.port = static_cast<std::uint16_t>(path);
    return flow;
}

} // namespace

request_simulation::request_simulation(const simulation_settings& settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_caller(caller_config(), seeded_random(settings.seed + 1))
{
    for (int index = 0; index < settings.agents; ++index)
    {
        m_hosts.push_back(
            {request_admission(admission_config(settings.sessions),
                               incarnation(++m_last_incarnation)),
             fake_upstream(m_record, settings.shed / 100.0), 0, false});
    }
}

admission_settings request_simulation::admission_config(int sessions)
{
    admission_settings settings;
    settings.slots = slot_count;
    settings.kinds = {{"hold", 3, false}, {"read", 1, true}};
    settings.queue_limit = 6;
    settings.memory.sessions = static_cast<std::size_t>(sessions);
    settings.memory.session_idle_timeout = std::chrono::milliseconds(100);
    settings.memory.answer_bytes = 8000;
    return settings;
}

caller_settings request_simulation::caller_config() const
{
    caller_settings settings;
    settings.paths = path_count;
    settings.retry_ratio = 0.3;
    settings.ticket_validity =
        std::chrono::milliseconds(m_settings.ticket_validity);
    return settings;
}

bool request_simulation::chance(int percent)
{
    return static_cast<int>(m_random() % 100) < percent;
}

duration request_simulation::delay(int max_delay)
{
    return std::chrono::microseconds(
        m_random() % (1000 * static_cast<std::uint64_t>(max_delay)));
}

void request_simulation::schedule(time_point when, std::function<void()> action)
{
    m_events.emplace(std::pair(when, ++m_last_event), std::move(action));
}

void request_simulation::schedule_events()
{
    for (int number = 1; number <= m_settings.requests; ++number)
    {
        schedule(m_now + delay(1000), [this, number]
                 { submit(static_cast<std::uint64_t>(number)); });
    }
    for (int index = 0; index < m_settings.faults; ++index)
    {
        schedule(m_now + delay(1200), [this] { inject_fault(); });
    }
    // Agents drain one after the other.
    for (int index = 0; index < m_settings.drains; ++index)
    {
        const std::size_t leaving = index % m_hosts.size();
        schedule(m_now + index * std::chrono::milliseconds(
                                     m_settings.ticket_validity + 200),
                 [this, leaving] { drain(leaving); });
    }
}

void request_simulation::submit(std::uint64_t number)
{
    outgoing_request outgoing;
    outgoing.idempotent = chance(50);
    outgoing.kind = outgoing.idempotent ? "read" : "hold";
    outgoing.deadline =
        std::chrono::milliseconds(m_settings.min_deadline) + delay(400);
    outgoing.body = std::to_string(number) + ":" +
                    std::string(chance(30) ? 1 + m_random() % 5000 : 5,
                                reference_service::filler);
    const request_id id = m_caller.submit(m_now, outgoing, m_caller_effects);
    m_submitted[id.number] = {outgoing, m_now + outgoing.deadline, {}, 0};
    if (chance(m_settings.cancels))
    {
        schedule(m_now + delay(30),
                 [this, id] { m_caller.cancel(m_now, id, m_caller_effects); });
    }
}

void request_simulation::inject_fault()
{
    const std::size_t index = m_random() % m_hosts.size();
    switch (m_random() % 3)
    {
    case 0:
        restart(index);
        return;
    case 1:
        crash_upstream(index);
        return;
    default:
        if (!m_owners.empty())
        {
            const auto chosen = m_random() % m_owners.size();
            std::next(m_owners.begin(), static_cast<int>(chosen))->second =
                index;
        }
    }
}

// Assigns new flows to an agent that is not draining, if there is one.
std::size_t request_simulation::owner_of(path_index path)
{
    const auto known = m_owners.find(path);
    if (known != m_owners.end())
    {
        return known->second;
    }
    std::size_t index = m_random() % m_hosts.size();
    for (std::size_t tries = 0; tries < m_hosts.size(); ++tries)
    {
        if (!m_hosts[index].draining)
        {
            break;
        }
        index = (index + 1) % m_hosts.size();
    }
    return m_owners[path] = index;
}

void request_simulation::drain(std::size_t index)
{
    m_hosts[index].draining = true;
    m_hosts[index].agent.drain();
    // Longer than callers use an unconfirmed ticket.
    schedule(m_now +
                 std::chrono::milliseconds(m_settings.ticket_validity + 100),
             [this, index]
             {
                 m_hosts[index].draining = false;
                 restart(index);
             });
}

void request_simulation::restart(std::size_t index)
{
    host& target = m_hosts[index];
    target.agent = request_admission(admission_config(m_settings.sessions),
                                     incarnation(++m_last_incarnation));
    target.weight = 0;
}

void request_simulation::crash_upstream(std::size_t index)
{
    m_hosts[index].upstream.crash();
    schedule(m_now + delay(5),
             [this, index]
             {
                 m_hosts[index].agent.upstream_lost(m_agent_effects);
                 perform_agent_effects(index);
             });
    schedule(m_now + std::chrono::milliseconds(10) + delay(100),
             [this, index]
             {
                 m_hosts[index].upstream.restart();
                 m_hosts[index].agent.upstream_ready(m_now, m_agent_effects);
                 perform_agent_effects(index);
             });
}

std::string request_simulation::run()
{
    schedule_events();
    while (next_time() != time_point::max() && m_failure.empty())
    {
        step();
    }
    check();
    return m_failure;
}

time_point request_simulation::next_time() const
{
    time_point next = m_caller.next_wakeup();
    if (!m_events.empty())
    {
        next = std::min(next, m_events.begin()->first.first);
    }
    for (const host& each : m_hosts)
    {
        next = std::min(
            {next, each.agent.next_wakeup(), each.upstream.next_wakeup()});
    }
    return next;
}

void request_simulation::step()
{
    m_now = std::max(m_now, next_time());
    if (!m_events.empty() && m_events.begin()->first.first <= m_now)
    {
        const auto action = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        action();
    }
    for (std::size_t index = 0; index < m_hosts.size(); ++index)
    {
        host& each = m_hosts[index];
        for (const std::string& answer : each.upstream.advance(m_now))
        {
            each.agent.handle_upstream(m_now, answer, m_agent_effects);
        }
        if (each.agent.next_wakeup() <= m_now)
        {
            each.agent.advance(m_now, m_agent_effects);
        }
        perform_agent_effects(index);
    }
    if (m_caller.next_wakeup() <= m_now)
    {
        m_caller.advance(m_now, m_caller_effects);
    }
    carry_out_caller();
}

void request_simulation::carry_out_caller()
{
    caller_effects effects;
    std::swap(effects, m_caller_effects);
    for (const caller_datagram& datagram : effects.datagrams)
    {
        record_send(datagram.bytes);
        transmit([this, datagram] { deliver(datagram.path, datagram.bytes); });
    }
    for (const request_outcome& outcome : effects.outcomes)
    {
        submitted& target = m_submitted[outcome.id.number];
        target.outcomes.push_back(outcome);
        expect(m_now <= target.deadline, "ended after the deadline",
               outcome.id.number);
    }
}

void request_simulation::deliver(path_index path, const std::string& bytes)
{
    const std::size_t index = chance(m_settings.strays)
                                  ? m_random() % m_hosts.size()
                                  : owner_of(path);
    m_hosts[index].agent.handle_datagram(m_now, flow_of(path), bytes,
                                         m_agent_effects);
    perform_agent_effects(index);
}

void request_simulation::transmit(const std::function<void()>& arrive)
{
    const int copies = chance(m_settings.duplicates) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy)
    {
        // Some datagrams are delayed far longer than the others.
        const int max_delay =
            chance(m_settings.delayed) ? 600 : m_settings.delay;
        if (!chance(m_settings.loss))
        {
            schedule(m_now + delay(max_delay), arrive);
        }
    }
}

void request_simulation::perform_agent_effects(std::size_t index)
{
    host& target = m_hosts[index];
    admission_effects effects;
    std::swap(effects, m_agent_effects);
    for (const std::uint32_t weight : effects.work_started)
    {
        target.weight += weight;
    }
    for (const std::uint32_t weight : effects.work_ended)
    {
        target.weight -= weight;
    }
    expect(target.weight == target.agent.counts().running_weight,
           "running weight differs from the reported work", index);
    expect(target.agent.counts().running <= slot_count,
           "more running requests than slots", index);
    for (const std::string& command : effects.to_upstream)
    {
        const auto answer = target.upstream.take(m_now, command, m_random);
        if (answer)
        {
            schedule(m_now,
                     [this, index, answer]
                     {
                         m_hosts[index].agent.handle_upstream(m_now, *answer,
                                                              m_agent_effects);
                         perform_agent_effects(index);
                     });
        }
    }
    for (const admission_datagram& datagram : effects.to_callers)
    {
        record_answer(datagram.bytes);
        transmit(
            [this, datagram]
            {
                m_caller.receive(m_now, datagram.flow.caller.port,
                                 datagram.bytes, m_caller_effects);
                carry_out_caller();
            });
    }
}

} // namespace crowlink::test
