#include "history.hpp"

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

history::history(const history_settings& settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_caller(calling(), seeded_random(settings.seed + 1))
{
    for (int index = 0; index < settings.agents; ++index)
    {
        m_hosts.push_back({request_admission(admission(settings.sessions),
                                             incarnation(++m_last_incarnation)),
                           fake_upstream(m_record, settings.shed / 100.0), 0,
                           false});
    }
}

admission_settings history::admission(int sessions)
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

caller_settings history::calling() const
{
    caller_settings settings;
    settings.paths = path_count;
    settings.retry_ratio = 0.3;
    settings.ticket_validity = std::chrono::milliseconds(m_settings.fresh_for);
    return settings;
}

bool history::chance(int percent)
{
    return static_cast<int>(m_random() % 100) < percent;
}

duration history::delay(int longest)
{
    return std::chrono::microseconds(
        m_random() % (1000 * static_cast<std::uint64_t>(longest)));
}

void history::at(time_point when, std::function<void()> what)
{
    m_events.emplace(std::pair(when, ++m_last_event), std::move(what));
}

void history::plan()
{
    for (int number = 1; number <= m_settings.requests; ++number)
    {
        at(m_now + delay(1000),
           [this, number] { submit(static_cast<std::uint64_t>(number)); });
    }
    for (int index = 0; index < m_settings.faults; ++index)
    {
        at(m_now + delay(1200), [this] { fault(); });
    }
    // One after the other.
    for (int index = 0; index < m_settings.drains; ++index)
    {
        const std::size_t leaving = index % m_hosts.size();
        at(m_now +
               index * std::chrono::milliseconds(m_settings.fresh_for + 200),
           [this, leaving] { drain(leaving); });
    }
}

void history::submit(std::uint64_t number)
{
    outgoing_request wanted;
    wanted.idempotent = chance(50);
    wanted.kind = wanted.idempotent ? "read" : "hold";
    wanted.deadline =
        std::chrono::milliseconds(m_settings.least_deadline) + delay(400);
    wanted.body = std::to_string(number) + ":" +
                  std::string(chance(30) ? 1 + m_random() % 5000 : 5,
                              naive_service::filling);
    const request_id id = m_caller.submit(m_now, wanted, m_caller_effects);
    m_submitted[id.number] = {wanted, m_now + wanted.deadline, {}, 0};
    if (chance(m_settings.cancels))
    {
        at(m_now + delay(30),
           [this, id] { m_caller.cancel(m_now, id, m_caller_effects); });
    }
}

void history::fault()
{
    const std::size_t index = m_random() % m_hosts.size();
    switch (m_random() % 3)
    {
    case 0:
        restart(index);
        return;
    case 1:
        kill_upstream(index);
        return;
    default:
        if (!m_owners.empty())
        {
            const auto one = m_random() % m_owners.size();
            std::next(m_owners.begin(), static_cast<int>(one))->second = index;
        }
    }
}

// New flows go to an agent that is ready.
std::size_t history::owner_of(path_index path)
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

void history::drain(std::size_t index)
{
    m_hosts[index].draining = true;
    m_hosts[index].agent.drain();
    // Longer than callers rely on a ticket unconfirmed.
    at(m_now + std::chrono::milliseconds(m_settings.fresh_for + 100),
       [this, index]
       {
           m_hosts[index].draining = false;
           restart(index);
       });
}

void history::restart(std::size_t index)
{
    host& of = m_hosts[index];
    of.agent = request_admission(admission(m_settings.sessions),
                                 incarnation(++m_last_incarnation));
    of.weight = 0;
}

void history::kill_upstream(std::size_t index)
{
    m_hosts[index].upstream.die();
    at(m_now + delay(5),
       [this, index]
       {
           m_hosts[index].agent.upstream_lost(m_agent_effects);
           carry_out_agent(index);
       });
    at(m_now + std::chrono::milliseconds(10) + delay(100),
       [this, index]
       {
           m_hosts[index].upstream.come_back();
           m_hosts[index].agent.upstream_ready(m_now, m_agent_effects);
           carry_out_agent(index);
       });
}

std::string history::run()
{
    plan();
    while (next_time() != time_point::max() && m_wrong.empty())
    {
        step();
    }
    check();
    return m_wrong;
}

time_point history::next_time() const
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

void history::step()
{
    m_now = std::max(m_now, next_time());
    if (!m_events.empty() && m_events.begin()->first.first <= m_now)
    {
        const auto what = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        what();
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
        carry_out_agent(index);
    }
    if (m_caller.next_wakeup() <= m_now)
    {
        m_caller.advance(m_now, m_caller_effects);
    }
    carry_out_caller();
}

void history::carry_out_caller()
{
    caller_effects effects;
    std::swap(effects, m_caller_effects);
    for (const caller_datagram& datagram : effects.datagrams)
    {
        note_send(datagram.bytes);
        travel([this, datagram] { deliver(datagram.path, datagram.bytes); });
    }
    for (const request_outcome& outcome : effects.outcomes)
    {
        submitted& of = m_submitted[outcome.id.number];
        of.outcomes.push_back(outcome);
        expect(m_now <= of.deadline, "ended after its deadline",
               outcome.id.number);
    }
}

void history::deliver(path_index path, const std::string& bytes)
{
    const std::size_t index = chance(m_settings.strays)
                                  ? m_random() % m_hosts.size()
                                  : owner_of(path);
    m_hosts[index].agent.handle_datagram(m_now, flow_of(path), bytes,
                                         m_agent_effects);
    carry_out_agent(index);
}

void history::travel(const std::function<void()>& arrive)
{
    const int copies = chance(m_settings.duplicates) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy)
    {
        // A few are held back far longer than the others.
        const int longest = chance(m_settings.late) ? 600 : m_settings.delay;
        if (!chance(m_settings.loss))
        {
            at(m_now + delay(longest), arrive);
        }
    }
}

void history::carry_out_agent(std::size_t index)
{
    host& of = m_hosts[index];
    admission_effects effects;
    std::swap(effects, m_agent_effects);
    for (const std::uint32_t weight : effects.work_started)
    {
        of.weight += weight;
    }
    for (const std::uint32_t weight : effects.work_ended)
    {
        of.weight -= weight;
    }
    expect(of.weight == of.agent.counts().running_weight, "miscounted work",
           index);
    expect(of.agent.counts().running <= slot_count, "too many slots", index);
    for (const std::string& command : effects.to_upstream)
    {
        const auto answer = of.upstream.take(m_now, command, m_random);
        if (answer)
        {
            at(m_now,
               [this, index, answer]
               {
                   m_hosts[index].agent.handle_upstream(m_now, *answer,
                                                        m_agent_effects);
                   carry_out_agent(index);
               });
        }
    }
    for (const admission_datagram& datagram : effects.to_callers)
    {
        note_answer(datagram.bytes);
        travel(
            [this, datagram]
            {
                m_caller.receive(m_now, datagram.flow.caller.port,
                                 datagram.bytes, m_caller_effects);
                carry_out_caller();
            });
    }
}

} // namespace crowlink::test
