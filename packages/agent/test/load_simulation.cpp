#include "load_simulation.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>

namespace crowlink::test
{

namespace
{

using std::chrono::milliseconds;

constexpr std::uint32_t slots = 2;
constexpr std::uint32_t work_per_slot = 4;
constexpr duration delay = milliseconds(1);
constexpr duration tick_interval = milliseconds(50);
constexpr duration aim = milliseconds(300);
constexpr duration timeout = milliseconds(1500);
constexpr duration opening_timeout = milliseconds(1400);
constexpr duration retry_pause = milliseconds(50);
constexpr int max_attempts = 3;
constexpr duration copies[] = {milliseconds(0), milliseconds(200),
                               milliseconds(600)};
const service_id simulated_service(5);

endpoint host(std::uint8_t group, std::size_t index)
{
    const std::array<std::uint8_t, 4> bytes{
        10, group, static_cast<std::uint8_t>(index >> 8U),
        static_cast<std::uint8_t>(index & 255U)};
    return endpoint{ip_address::from_v4(bytes), 4000};
}

duration seconds(double value)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(value));
}

double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

struct load_simulation::node_effects
{
    load_simulation& world;
    std::size_t index;

    void deliver(const flow_key& flow, payload_view)
    {
        world.after(duration::zero(), [this_world = &world, at = index, flow]
                    { this_world->deliver(at, flow); });
    }
    void forward(const endpoint& to, const packet_header& header, payload_view)
    {
        world.after(delay,
                    [this_world = &world, to, header]
                    {
                        packet_arrived sent{header, {}, answer_need::required};
                        sent.will_retransmit = true;
                        const auto found = this_world->m_addresses.find(to);
                        this_world->handle(found->second, sent);
                    });
    }
    void answer(const endpoint&, const flow_key&, payload_view) {}
    void refuse(const endpoint&, const flow_key& flow, payload_view,
                const flow_refusal&)
    {
        world.after(delay, [this_world = &world, flow]
                    { this_world->fail_attempt(flow); });
    }
    void reset_caller(const endpoint&, const flow_key& flow, payload_view,
                      const flow_refusal&)
    {
        world.after(delay, [this_world = &world, flow]
                    { this_world->fail_attempt(flow); });
    }
    void reset_upstream(const flow_key&, refusal_reason) {}
    void close(const flow_key&) {}
    void send(const endpoint& to, const peer_message& message)
    {
        peer_message sent = message;
        const auto found = world.m_addresses.find(to);
        const std::size_t target = found->second;
        auto* load = std::get_if<load_notice>(&sent);
        const std::size_t old = world.m_settings.old_agents;
        if (load != nullptr && (index < old || target < old))
        {
            load->service_time = duration::zero();
        }
        world.after(delay,
                    [this_world = &world, target, sent, from = host(1, index)] {
                        this_world->handle(target, message_arrived{from, sent});
                    });
    }
    void announce(const upstream_record&) {}
    void decide(const flow_decision&) {}
};

template <class Event>
void load_simulation::handle(std::size_t index, const Event& event)
{
    node_effects effects{*this, index};
    m_nodes[index].core->handle(m_now, event, effects);
}

load_simulation::load_simulation(load_settings settings)
    : m_settings(std::move(settings)), m_random(m_settings.seed)
{
    double speed = 0;
    for (std::size_t i = 0; i < m_settings.speeds.size(); ++i)
    {
        node added;
        added.speed = m_settings.speeds[i];
        speed += added.speed;
        added.record.id = upstream_id("u" + std::to_string(100 + i));
        added.record.service = simulated_service;
        added.record.started = incarnation(100 + i);
        added.record.agent = host(1, i);
        m_addresses[added.record.agent] = i;
        m_nodes.push_back(std::move(added));
    }
    double work = 0;
    for (const simulated_kind& each : m_settings.kinds)
    {
        work += each.share * to_seconds(each.work);
    }
    m_gap = seconds(work / (m_settings.load * speed * slots));
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
    {
        start_agent(i);
    }
    publish();
    m_result.completed.resize(m_nodes.size());
    m_result.completed_at_end.resize(m_nodes.size());
}

load_result load_simulation::run()
{
    tick_all();
    arrive();
    for (const speed_change& each : m_settings.changes)
    {
        after(each.at, [this, each] { set_speed(each.upstream, each.speed); });
    }
    if (m_settings.restart_at > duration::zero())
    {
        after(m_settings.restart_at, [this] { restart(m_settings.restarted); });
    }
    const time_point end =
        m_start + m_settings.warm_up + m_settings.measured + 2 * timeout;
    while (!m_events.empty() && m_events.top().at <= end)
    {
        const timed_event next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.run();
    }
    std::sort(m_times.begin(), m_times.end());
    if (!m_times.empty())
    {
        m_result.p50 = m_times[m_times.size() / 2];
        m_result.p99 = m_times[m_times.size() * 99 / 100];
    }
    m_result.failed = m_result.callers - m_result.in_time - m_result.late;
    for (const node& each : m_nodes)
    {
        m_result.relative_times.push_back(each.core->relative_time_permille());
    }
    return m_result;
}

void load_simulation::after(duration time, std::function<void()> run)
{
    m_events.push(timed_event{m_now + time, m_order++, std::move(run)});
}

double load_simulation::uniform()
{
    constexpr double steps = 1'000'000;
    return (static_cast<double>(m_random() % 1'000'000) + 0.5) / steps;
}

duration load_simulation::draw_work()
{
    constexpr double spread = 0.5;
    double kind = uniform();
    duration mean = m_settings.kinds.back().work;
    for (const simulated_kind& each : m_settings.kinds)
    {
        if (kind < each.share)
        {
            mean = each.work;
            break;
        }
        kind -= each.share;
    }
    const double radius = std::sqrt(-2 * std::log(uniform()));
    const double normal = radius * std::cos(2 * std::numbers::pi * uniform());
    return seconds(to_seconds(mean) *
                   std::exp(spread * normal - spread * spread / 2));
}

void load_simulation::start_agent(std::size_t index)
{
    agent_settings settings;
    settings.self = m_nodes[index].record;
    settings.work_per_slot = work_per_slot;
    settings.slots = slots;
    m_nodes[index].core = std::make_unique<agent>(settings, m_now);
}

void load_simulation::publish()
{
    service_view view;
    view.version = config_version(1);
    view.declared.id = simulated_service;
    view.declared.sharing.cold_start = duration::zero();
    view.balancers = {host(2, 0)};
    for (const node& each : m_nodes)
    {
        view.members.push_back(each.record);
    }
    m_table = forwarding_table::build(view);
    auto without_terms = std::make_shared<service_view>(view);
    auto with_terms = std::make_shared<service_view>(view);
    without_terms->declared.shares = {address_share{host(4, 0), 1, {}}};
    with_terms->declared.shares = {address_share{
        host(4, 0), 1, route_terms{request_class::safe, timeout, aim, 1}}};
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
    {
        const bool knows_terms =
            m_settings.has_terms && i >= m_settings.old_agents;
        handle(i, view_changed{knows_terms ? with_terms : without_terms});
    }
}

void load_simulation::tick_all()
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
    {
        handle(i, tick{});
    }
    after(tick_interval, [this] { tick_all(); });
}

void load_simulation::restart(std::size_t index)
{
    node& here = m_nodes[index];
    ++here.incarnation;
    for (const request& each : here.queue)
    {
        fail_attempt(each.flow);
    }
    here.queue.clear();
    here.stalled.clear();
    here.busy = 0;
    here.counted.clear();
    here.record.started = incarnation(10'000 + index);
    start_agent(index);
    publish();
}

void load_simulation::arrive()
{
    if (m_now >= m_start + m_settings.warm_up + m_settings.measured)
    {
        return;
    }
    caller added;
    added.started = m_now;
    added.work = draw_work();
    added.is_counted = m_now >= m_start + m_settings.warm_up;
    m_result.callers += added.is_counted ? 1 : 0;
    m_callers.push_back(added);
    open(m_callers.size() - 1);
    after(seconds(-std::log(uniform()) * to_seconds(m_gap)),
          [this] { arrive(); });
}

void load_simulation::open(std::size_t index)
{
    ++m_callers[index].attempts;
    const std::uint32_t number = m_next_flow++;
    const flow_key flow{
        endpoint{host(3, number >> 12U).address,
                 static_cast<std::uint16_t>(1024 + (number & 0xfffU))},
        host(4, 0), transport::tcp};
    m_attempts[flow] = attempt{index, false, false};
    for (std::size_t copy = 0; copy < std::size(copies); ++copy)
    {
        after(copies[copy], [this, flow, copy] { send_copy(flow, copy); });
    }
    after(opening_timeout,
          [this, flow]
          {
              if (!m_attempts[flow].is_open)
              {
                  fail_attempt(flow);
              }
          });
}

void load_simulation::send_copy(const flow_key& flow, std::size_t copy)
{
    const attempt& own = m_attempts[flow];
    if (own.is_open || own.is_over)
    {
        return;
    }
    packet_header header;
    header.service = simulated_service;
    header.table = m_table->digest();
    header.flow = flow;
    header.role = packet_role::opens;
    header.return_to = host(2, 0);
    header.current = m_table->chain(stable_hash(flow));
    after(delay,
          [this, header, copy]
          {
              packet_arrived sent{header, {}, answer_need::required};
              sent.will_retransmit = copy + 1 < std::size(copies);
              handle(m_addresses.at(header.current[0].agent), sent);
          });
}

void load_simulation::fail_attempt(const flow_key& flow)
{
    attempt& own = m_attempts[flow];
    if (std::exchange(own.is_over, true))
    {
        return;
    }
    const caller& failed = m_callers[own.caller];
    if (!failed.is_done && failed.attempts < max_attempts &&
        m_now + retry_pause < failed.started + timeout)
    {
        after(retry_pause, [this, index = own.caller] { open(index); });
    }
}

void load_simulation::deliver(std::size_t index, const flow_key& flow)
{
    attempt& own = m_attempts[flow];
    if (own.is_open || own.is_over)
    {
        return;
    }
    own.is_open = true;
    handle(index, work_started{1});
    const request next{own.caller, flow, m_callers[own.caller].work};
    // The response to the opening packet and the way of the request's data.
    after(2 * delay,
          [this, index, next, incarnation = m_nodes[index].incarnation]
          {
              if (m_nodes[index].incarnation == incarnation)
              {
                  take_request(index, next);
              }
          });
}

void load_simulation::take_request(std::size_t index, const request& next)
{
    node& here = m_nodes[index];
    here.queue.push_back(next);
    here.counted.insert(next.flow);
    handle(index, requests_counted{here.counted.size(), 0});
    const time_point given_up = m_callers[next.caller].started + timeout;
    after(std::max(given_up - m_now, duration::zero()),
          [this, index, flow = next.flow, incarnation = here.incarnation]
          { give_up(index, incarnation, flow); });
    start_next(index);
}

void load_simulation::start_next(std::size_t index)
{
    node& here = m_nodes[index];
    while (here.busy < slots && !here.queue.empty())
    {
        const request next = here.queue.front();
        here.queue.pop_front();
        ++here.busy;
        if (here.speed <= 0)
        {
            here.stalled.push_back(next);
            continue;
        }
        after(seconds(to_seconds(next.work) / here.speed),
              [this, index, next, incarnation = here.incarnation]
              { finish(index, incarnation, next); });
    }
}

void load_simulation::finish(std::size_t index, std::size_t incarnation,
                             const request& done)
{
    node& here = m_nodes[index];
    if (here.incarnation != incarnation)
    {
        return;
    }
    if (here.speed <= 0)
    {
        here.stalled.push_back(done);
        return;
    }
    --here.busy;
    if (here.counted.erase(done.flow) > 0)
    {
        handle(index, upstream_answered{done.flow, {}});
        handle(index, work_ended{1, true});
        handle(index, requests_counted{here.counted.size(), 1});
        handle(index, upstream_closed{done.flow});
    }
    const duration measured_for = m_now - m_start - m_settings.warm_up;
    if (measured_for >= duration::zero() && measured_for < m_settings.measured)
    {
        ++m_result.completed[index];
        const bool is_end = measured_for * 4 >= m_settings.measured * 3;
        m_result.completed_at_end[index] += is_end ? 1 : 0;
    }
    after(delay, [this, caller = done.caller] { complete(caller); });
    start_next(index);
}

// The upstream drops a queued request and finishes a running one.
void load_simulation::give_up(std::size_t index, std::size_t incarnation,
                              const flow_key& flow)
{
    node& here = m_nodes[index];
    if (here.incarnation != incarnation || here.counted.erase(flow) == 0)
    {
        return;
    }
    std::erase_if(here.queue,
                  [&flow](const request& each) { return each.flow == flow; });
    handle(index, work_ended{1, false});
    handle(index, requests_counted{here.counted.size(), 0});
    handle(index, upstream_closed{flow});
}

void load_simulation::set_speed(std::size_t index, double speed)
{
    node& here = m_nodes[index];
    here.speed = speed;
    if (speed <= 0)
    {
        return;
    }
    for (const request& each : std::exchange(here.stalled, {}))
    {
        after(seconds(to_seconds(each.work) / speed),
              [this, index, each, incarnation = here.incarnation]
              { finish(index, incarnation, each); });
    }
}

void load_simulation::complete(std::size_t index)
{
    caller& served = m_callers[index];
    const duration took = m_now - served.started;
    if (std::exchange(served.is_done, true) || !served.is_counted ||
        took > timeout)
    {
        return;
    }
    ++(took <= aim ? m_result.in_time : m_result.late);
    m_times.push_back(to_seconds(took) * 1000);
}

} // namespace crowlink::test
