#include "link_simulation.hpp"

#include <algorithm>
#include <cmath>

namespace crowlink
{

namespace
{

constexpr double round_trip = 0.006;
constexpr double work = 0.005;
// What a link queues by itself before it drops.
constexpr double link_buffer_bytes = 256e3;
constexpr std::size_t header_bytes = 200;
constexpr std::size_t wire_header = 31;
constexpr std::size_t data_bytes = 1200;
constexpr std::uint32_t window = 16;
constexpr std::uint32_t opening = 0xffffffff;
constexpr double opening_times[] = {0.0, 0.2, 0.6};
constexpr double opening_timeout = 1.4;
// The poller waits for whole milliseconds.
constexpr double poll_step = 0.001;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

double caller_results::in_time_share() const
{
    return requests == 0 ? 0.0 : double(in_time) / double(requests);
}

double caller_results::refused_share() const
{
    return requests == 0 ? 0.0 : double(refused) / double(requests);
}

double caller_results::p99() const
{
    if (took.empty())
    {
        return 0.0;
    }
    std::vector<double> sorted = took;
    std::sort(sorted.begin(), sorted.end());
    return sorted[(sorted.size() - 1) * 99 / 100];
}

void link_simulation::restart_at(double time, double figure_mbps)
{
    at(time, [this, figure_mbps] { m_scheduler.emplace(figure_mbps); });
}

void link_simulation::throttle(double period, double stopped)
{
    m_period = period;
    m_stopped = stopped;
}

std::size_t link_simulation::add(const request_load& load, double from,
                                 double until)
{
    const std::size_t kind = m_loads.size();
    m_loads.push_back(load);
    m_results.emplace_back();
    at(from, [this, kind, until] { start_request(kind, until); });
    return kind;
}

void link_simulation::run(double until)
{
    while (!m_events.empty() && m_events.begin()->first <= until)
    {
        const auto first = m_events.begin();
        m_now = first->first;
        const auto action = std::move(first->second);
        m_events.erase(first);
        action();
    }
}

double link_simulation::link_use() const
{
    return m_link_bytes / (m_link_rate * (m_last_send - m_first_send));
}

void link_simulation::at(double time, std::function<void()> action)
{
    m_events.emplace(time, std::move(action));
}

time_point link_simulation::now() const
{
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(m_now + 1.0)));
}

void link_simulation::start_request(std::size_t kind, double until)
{
    if (m_now >= until)
    {
        return;
    }
    const request_load& load = m_loads[kind];
    const std::uint64_t id = m_next_id++;
    request started;
    started.kind = kind;
    started.start = m_now;
    started.packets =
        static_cast<std::uint32_t>((load.size + data_bytes - 1) / data_bytes);
    started.tries.resize(started.packets);
    m_requests.emplace(id, started);
    ++m_results[kind].requests;
    for (std::uint32_t copy = 0; copy < 3; ++copy)
    {
        at(m_now + opening_times[copy],
           [this, id, copy] { send_opening(id, copy); });
    }
    at(m_now + opening_timeout,
       [this, id]
       {
           const auto found = m_requests.find(id);
           if (found != m_requests.end() && !found->second.is_open)
           {
               give_up(id);
           }
       });
    const duration timeout =
        load.terms ? load.terms->timeout : duration(std::chrono::seconds(4));
    at(m_now + seconds(timeout), [this, id] { give_up(id); });
    std::exponential_distribution<double> gap(load.per_second);
    at(m_now + gap(m_random),
       [this, kind, until] { start_request(kind, until); });
}

void link_simulation::send_opening(std::uint64_t id, std::uint32_t copy)
{
    const auto found = m_requests.find(id);
    if (found != m_requests.end() && !found->second.is_open)
    {
        offer(id, opening, packet_role::opens, copy == 0, wire_header);
    }
}

void link_simulation::send_data(std::uint64_t id, std::uint32_t number)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end() || found->second.tries[number] == 0)
    {
        return;
    }
    request& sender = found->second;
    const double again =
        std::min(1.6, 0.2 * std::pow(2.0, sender.tries[number] - 1.0));
    ++sender.tries[number];
    at(m_now + again, [this, id, number] { send_data(id, number); });
    const std::size_t size = m_loads[sender.kind].size;
    const std::size_t data =
        std::min(data_bytes, size - std::size_t{number} * data_bytes);
    offer(id, number, packet_role::continues, false, wire_header + data);
}

void link_simulation::fill_window(std::uint64_t id)
{
    request& sender = m_requests.at(id);
    while (sender.next < sender.packets && sender.next - sender.done < window)
    {
        const std::uint32_t number = sender.next++;
        sender.tries[number] = 1;
        send_data(id, number);
    }
}

bool link_simulation::is_stopped() const
{
    return m_period > 0.0 && std::fmod(m_now, m_period) < m_stopped;
}

void link_simulation::offer(std::uint64_t id, std::uint32_t number,
                            packet_role role, bool may_be_refused,
                            std::size_t payload)
{
    if (is_stopped())
    {
        // The packet waits in the socket until the host runs.
        const double resume =
            (std::floor(m_now / m_period) * m_period) + m_stopped + 1e-6;
        at(resume,
           [=, this] { offer(id, number, role, may_be_refused, payload); });
        return;
    }
    const std::size_t size = payload + header_bytes;
    if (!m_scheduler)
    {
        to_link(id, number, size);
        return;
    }
    // The identity of the packet, for `drain`.
    std::vector<std::uint8_t> bytes(size);
    for (unsigned at = 0; at < 8; ++at)
    {
        bytes[at] = static_cast<std::uint8_t>(id >> (8 * at));
    }
    for (unsigned at = 0; at < 4; ++at)
    {
        bytes[8 + at] = static_cast<std::uint8_t>(number >> (8 * at));
    }
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
    {
        return;
    }
    const auto& terms = m_loads[found->second.kind].terms;
    const egress_offer offered{
        id,    terms ? &*terms : nullptr,       role,       may_be_refused,
        false, std::span(bytes).first(payload), endpoint(), bytes};
    const egress_verdict verdict = m_scheduler->offer(now(), offered);
    if (verdict == egress_verdict::send_now)
    {
        to_link(id, number, size);
    }
    else if (verdict == egress_verdict::refused)
    {
        const std::size_t kind = found->second.kind;
        ++m_results[kind].refused;
        m_requests.erase(found);
    }
    else if (verdict == egress_verdict::queued)
    {
        ++m_queued;
    }
    drain();
}

void link_simulation::drain()
{
    if (is_stopped())
    {
        at((std::floor(m_now / m_period) * m_period) + m_stopped + 1e-6,
           [this] { drain(); });
        return;
    }
    if (m_scheduler->next_send() <= now())
    {
        while (const auto packet = m_scheduler->take(now()))
        {
            std::uint64_t id = 0;
            std::uint32_t number = 0;
            for (unsigned at = 0; at < 8; ++at)
            {
                id |= std::uint64_t{packet->bytes[at]} << (8 * at);
            }
            for (unsigned at = 0; at < 4; ++at)
            {
                number |= std::uint32_t{packet->bytes[8 + at]} << (8 * at);
            }
            m_longest_wait =
                std::max(m_longest_wait, seconds(now() - packet->since));
            to_link(id, number, packet->bytes.size());
        }
    }
    const time_point next = m_scheduler->next_send();
    if (next != time_point::max() && m_next_drain <= m_now)
    {
        const double wait = seconds(next - now());
        m_next_drain =
            m_now + std::max(1.0, std::ceil(wait / poll_step)) * poll_step;
        at(m_next_drain, [this] { drain(); });
    }
}

void link_simulation::to_link(std::uint64_t id, std::uint32_t number,
                              std::size_t size)
{
    const double backlog = std::max(0.0, m_link_free - m_now) * m_link_rate;
    if (backlog + double(size) > link_buffer_bytes)
    {
        return;
    }
    m_first_send = m_first_send < 0.0 ? m_now : m_first_send;
    m_link_free = std::max(m_link_free, m_now) + double(size) / m_link_rate;
    m_link_bytes += double(size);
    m_last_send = m_link_free;
    // The sender learns of it half a round trip after its arrival.
    at(m_link_free + round_trip, [this, id, number] { arrived(id, number); });
}

void link_simulation::arrived(std::uint64_t id, std::uint32_t number)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
    {
        return;
    }
    request& sender = found->second;
    if (number == opening)
    {
        if (!sender.is_open)
        {
            sender.is_open = true;
            fill_window(id);
        }
        return;
    }
    if (sender.tries[number] == 0)
    {
        return;
    }
    sender.tries[number] = 0;
    ++sender.done;
    if (sender.done == sender.packets)
    {
        at(m_now + work, [this, id] { finish(id); });
        return;
    }
    fill_window(id);
}

void link_simulation::finish(std::uint64_t id)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
    {
        return;
    }
    const request& done = found->second;
    caller_results& results = m_results[done.kind];
    const double took = m_now - done.start;
    const auto& terms = m_loads[done.kind].terms;
    const double aim = terms ? seconds(terms->aim) : 0.8;
    ++(took <= aim ? results.in_time : results.late);
    results.took.push_back(took * 1e3);
    m_requests.erase(found);
}

void link_simulation::give_up(std::uint64_t id)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
    {
        return;
    }
    const std::size_t kind = found->second.kind;
    ++m_results[kind].failed;
    m_requests.erase(found);
    // The caller resets its flow; the packet's identity is nobody's.
    const std::vector<std::uint8_t> bytes(wire_header + header_bytes, 0xff);
    const auto& terms = m_loads[kind].terms;
    const egress_offer offered{
        id,    terms ? &*terms : nullptr,           packet_role::resets, false,
        false, std::span(bytes).first(wire_header), endpoint(),          bytes};
    if (!m_scheduler ||
        m_scheduler->offer(now(), offered) == egress_verdict::send_now)
    {
        to_link(id, opening, bytes.size());
    }
}

} // namespace crowlink
