#include "simulation.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace crowlink::placement
{

namespace
{

// A caller sends a request again after this, doubled each time, and gives up
// after the last try.
constexpr duration first_patience = std::chrono::seconds(1);
constexpr std::uint32_t most_tries = 5;
// New attempts after a refusal.
constexpr std::uint32_t most_attempts = 3;
constexpr std::uint32_t ports_per_caller = 50000;
constexpr std::uint32_t first_port = 10000;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

// Each attempt comes from another port, as a new connection does.
void simulation::new_key(std::uint32_t index)
{
    caller_flow& flow = m_flows[index];
    const std::uint32_t number = index * (most_attempts + 1) + flow.attempt;
    const std::uint32_t host = number / ports_per_caller;
    const std::array<std::uint8_t, 4> bytes{
        10, static_cast<std::uint8_t>(host >> 16),
        static_cast<std::uint8_t>(host >> 8), static_cast<std::uint8_t>(host)};
    const auto port =
        static_cast<std::uint16_t>(first_port + number % ports_per_caller);
    flow.disturbed = false;
    flow.key = {endpoint{ip_address::from_v4(bytes), port},
                service_address(flow.service), transport::tcp};
}

std::uint32_t simulation::index_of(const flow_key& flow)
{
    const auto& bytes = flow.caller.address.bytes();
    const std::uint32_t host = (std::uint32_t{bytes[13]} << 16) |
                               (std::uint32_t{bytes[14]} << 8) | bytes[15];
    const std::uint32_t number =
        host * ports_per_caller + (flow.caller.port - first_port);
    return number / (most_attempts + 1);
}

// Sends the flow's next request.
void simulation::ask(std::uint32_t index)
{
    caller_flow& flow = m_flows[index];
    flow.waiting = true;
    flow.finishing = flow.sequence > 0 && m_events.now() >= flow.ends;
    flow.asked = m_events.now();
    flow.tries = 0;
    ++m_report.requests;
    send(index);
}

void simulation::send(std::uint32_t index)
{
    const caller_flow& flow = m_flows[index];
    const packet_text text{index, flow.sequence, flow.sequence == 0,
                           flow.finishing};
    const flow_key key = flow.key;
    m_events.after(m_settings.caller_delay,
                   [this, key, text] { m_policy->packet(key, text); });
    const duration patience = first_patience * (1U << flow.tries);
    m_events.after(patience, [this, index, sequence = flow.sequence,
                              attempt = flow.attempt, tries = flow.tries]
                   { check(index, sequence, attempt, tries); });
}

// The patience of one sending is over.
void simulation::check(std::uint32_t index, std::uint32_t sequence,
                       std::uint32_t attempt, std::uint32_t tries)
{
    caller_flow& flow = m_flows[index];
    if (flow.state == caller_state::done || !flow.waiting ||
        flow.sequence != sequence || flow.attempt != attempt ||
        flow.tries != tries)
    {
        return;
    }
    if (tries + 1 >= most_tries)
    {
        break_flow(flow, false);
        if (m_record.has_run(index, sequence))
        {
            ++m_report.lost;
        }
        return;
    }
    ++flow.tries;
    send(index);
}

void simulation::break_flow(caller_flow& broken, bool told)
{
    const bool opened = broken.state == caller_state::open;
    broken.state = caller_state::done;
    if (!opened)
    {
        ++m_report.unknown_outcome;
        return;
    }
    if (broken.disturbed)
    {
        ++m_report.broken_unplanned;
        return;
    }
    ++m_report.broken_planned;
    if (!told)
    {
        ++m_report.broken_silently;
    }
}

void simulation::answer_caller(const flow_key& flow, const packet_text& text)
{
    m_events.after(m_settings.caller_delay,
                   [this, flow, text]
                   {
                       caller_flow& asked = m_flows[text.flow];
                       if (asked.state == caller_state::done ||
                           !asked.waiting || asked.key != flow ||
                           asked.sequence != text.sequence)
                       {
                           return;
                       }
                       ++m_report.answers;
                       asked.waiting = false;
                       asked.state = caller_state::open;
                       if (m_events.now() - time_point{} >= m_settings.warm_up)
                       {
                           m_answer_times.push_back(static_cast<float>(
                               seconds(m_events.now() - asked.asked)));
                       }
                       if (text.finishes)
                       {
                           asked.state = caller_state::done;
                           return;
                       }
                       ++asked.sequence;
                       ask_again(text.flow);
                   });
}

// Thinks, then asks; the last request comes at the end of the flow's life.
void simulation::ask_again(std::uint32_t index)
{
    std::exponential_distribution<double> think(1.0 / m_settings.think_seconds);
    duration pause = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(think(m_think)));
    const duration left = m_flows[index].ends - m_events.now();
    pause = std::min(pause, std::max(left, duration{}));
    m_events.after(pause,
                   [this, index]
                   {
                       if (m_flows[index].state != caller_state::done)
                       {
                           ask(index);
                       }
                   });
}

void simulation::refuse_caller(const flow_key& flow, std::uint32_t index,
                               verdict outcome, duration retry_after)
{
    m_events.after(m_settings.caller_delay,
                   [this, flow, index, outcome, retry_after]
                   {
                       caller_flow& asked = m_flows[index];
                       if (asked.state == caller_state::done ||
                           asked.key != flow)
                       {
                           return;
                       }
                       if (asked.state == caller_state::open)
                       {
                           break_flow(asked, true);
                           return;
                       }
                       ++m_report.refusals;
                       if (outcome != verdict::not_run)
                       {
                           break_flow(asked, true);
                           return;
                       }
                       ++m_report.not_run_checked;
                       if (m_record.has_run(index, asked.sequence))
                       {
                           ++m_report.not_run_false;
                       }
                       if (asked.attempt >= most_attempts)
                       {
                           asked.state = caller_state::done;
                           ++m_report.refused_for_good;
                           return;
                       }
                       ++asked.attempt;
                       ++m_report.retries;
                       asked.waiting = false;
                       new_key(index);
                       m_events.after(retry_after,
                                      [this, index, attempt = asked.attempt]
                                      {
                                          if (m_flows[index].attempt == attempt)
                                          {
                                              ask(index);
                                          }
                                      });
                   });
}

void simulation::reset_caller(const flow_key& flow, std::uint32_t index)
{
    m_events.after(m_settings.caller_delay,
                   [this, flow, index]
                   {
                       caller_flow& asked = m_flows[index];
                       if (asked.state != caller_state::done &&
                           asked.key == flow)
                       {
                           break_flow(asked, true);
                       }
                   });
}

} // namespace crowlink::placement
