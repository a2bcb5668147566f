#include "agent/flow_delivery.hpp"

#include "crowlink/platform/http_text.hpp"
#include "crowlink/platform/wire_packet.hpp"

#include <algorithm>
#include <utility>

namespace crowlink::internal
{

namespace
{

// As many as one receive of the batch yields.
constexpr std::size_t batch_packets = 32;
constexpr std::size_t packet_bytes = 2048;
// A caller gives up a connection that has not opened after 1.4 s, so that one
// which has sent no request by then keeps no slot busy.
constexpr duration opening_time = std::chrono::milliseconds(1500);
// Copies come after 200 and 600 ms; then the caller gives up.
constexpr std::uint32_t last_opening_copy = 2;
// The users' callers give up after 1.5 to 3 s, downloads aside, whose work
// takes milliseconds: what has not been answered by then keeps no slot busy
// here, or was answered to an agent before this one.
constexpr duration longest_work = std::chrono::seconds(3);
constexpr duration sweep_interval = std::chrono::milliseconds(250);
// An upstream acknowledges within a few milliseconds, however busy; callers
// repeat themselves after 200 ms.
constexpr duration owed_too_long = std::chrono::milliseconds(150);
constexpr duration probe_interval = std::chrono::milliseconds(300);

} // namespace

flow_delivery::flow_delivery(udp_socket outbound, const endpoint& upstream,
                             std::uint16_t caller_port, poller& waiting,
                             poller::token token)
    : m_socket(std::move(outbound))
    , m_upstream(upstream)
    , m_port(endpoint{m_socket.local().address, caller_port})
    , m_to_upstream(batch_packets, packet_bytes)
    , m_to_callers(batch_packets, packet_bytes)
    , m_buffer(platform::wire_packet::header_bytes)
{
    waiting.add(m_socket.handle(), token);
}

std::optional<packet_nature> flow_delivery::inspect(payload_view payload) const
{
    const auto packet = platform::decode_packet(payload);
    if (!packet)
    {
        return std::nullopt;
    }
    const bool wants_answer = packet->flags.opens || !packet->data.empty();
    // A caller numbers the copies of its opening packet here.
    const bool comes_again =
        packet->flags.opens && packet->acknowledgement < last_opening_copy;
    return packet_nature{wants_answer ? answer_need::required
                                      : answer_need::none,
                         packet->flags.finishes, comes_again, packet->sequence,
                         packet->flags.opens ? packet->acknowledgement : 0};
}

bool flow_delivery::deliver(const flow_key& flow, payload_view payload)
{
    const auto packet = platform::decode_packet(payload);
    if (!packet)
    {
        return false;
    }
    const auto [place, is_new] = m_flows.try_emplace(flow);
    activity& known = place->second;
    known.acknowledged = packet->acknowledgement;
    // What comes again is no new work: the upstream answers it from what it
    // has, perhaps with nothing.
    const bool is_request = brings_data(known, *packet);
    const bool is_opening = packet->flags.opens && is_new;
    if ((is_opening || is_request) && !known.is_busy)
    {
        known.is_busy = true;
        known.since = m_now;
        ++m_work.started;
        ++m_at_work;
    }
    if (is_request && !known.has_request)
    {
        note_request(flow, known, packet->data);
    }
    known.has_request = known.has_request || is_request;
    if (is_request && !known.is_running && ends_request(*packet))
    {
        known.is_running = true;
        ++m_running;
    }
    if ((packet->flags.opens || is_request) && m_owed_since == time_point())
    {
        m_owed_since = m_now;
    }
    if (m_to_upstream.full())
    {
        m_unsent += m_socket.send(m_to_upstream).dropped;
    }
    const auto out = m_to_upstream.next();
    std::copy(payload.begin(), payload.end(), out.begin());
    platform::write_note(out, remember());
    m_to_upstream.commit(payload.size(), m_upstream);
    return true;
}

bool flow_delivery::brings_data(activity& known,
                                const platform::wire_packet& packet)
{
    if (packet.data.empty())
    {
        return false;
    }
    const auto end =
        packet.sequence + static_cast<std::uint32_t>(packet.data.size());
    // Sequences wrap around: the sign of the difference tells the order.
    const bool is_new =
        !known.next_sequence ||
        static_cast<std::int32_t>(end - *known.next_sequence) > 0;
    if (is_new)
    {
        known.next_sequence = end;
    }
    return is_new;
}

// A sender fills each packet but the last, so that the transfer of a large body
// is not counted as time at the upstream. A request that fills its last packet
// too is not counted at all, one of 1,200.
bool flow_delivery::ends_request(const platform::wire_packet& packet)
{
    return packet.data.size() < platform::wire_packet::most_data_bytes;
}

// Zero where no header belongs to what is delivered.
std::uint32_t flow_delivery::remember()
{
    if (m_header == nullptr)
    {
        return 0;
    }
    const std::uint32_t note = m_next_note++;
    m_headers[note % headers_kept] = remembered_header{note, *m_header};
    return note;
}

void flow_delivery::close(const flow_key& flow)
{
    const auto found = m_flows.find(flow);
    if (found == m_flows.end())
    {
        return;
    }
    note_end(flow, found->second);
    end_work(found->second, false);
    m_flows.erase(found);
}

void flow_delivery::end_work(activity& flow, bool completed)
{
    if (!flow.is_busy)
    {
        return;
    }
    flow.is_busy = false;
    flow.has_request = false;
    flow.request.clear();
    --m_at_work;
    ++(completed ? m_work.completed : m_work.given_up);
    if (flow.is_running)
    {
        flow.is_running = false;
        --m_running;
        m_work.requests_completed += completed ? 1 : 0;
    }
}

void flow_delivery::answer(const flow_key& flow, payload_view payload)
{
    const auto out = m_port.answer(flow, payload, m_buffer);
    if (out)
    {
        put(m_to_callers, out->bytes, out->to);
    }
}

void flow_delivery::reset(const flow_key& flow, payload_view answered,
                          bool is_open)
{
    std::optional<std::uint32_t> acknowledged;
    const auto known = m_flows.find(flow);
    if (known != m_flows.end())
    {
        acknowledged = known->second.acknowledged;
    }
    else if (const auto packet = platform::decode_packet(answered))
    {
        acknowledged = packet->acknowledgement;
    }
    if (is_open && !acknowledged)
    {
        return;
    }
    const auto out =
        m_port.refuse(refusal{flow, acknowledged.value_or(0), 0}, m_buffer);
    if (out)
    {
        put(m_to_callers, out->bytes, out->to);
    }
}

void flow_delivery::put(datagram_batch& batch, payload_view payload,
                        const endpoint& to)
{
    if (batch.full())
    {
        m_unsent += m_socket.send(batch).dropped;
    }
    std::copy(payload.begin(), payload.end(), batch.next().begin());
    batch.commit(payload.size(), to);
}

std::optional<upstream_packet>
flow_delivery::read(std::span<std::uint8_t> bytes)
{
    const auto packet = platform::decode_packet(bytes);
    if (!packet)
    {
        return std::nullopt;
    }
    m_owed_since = time_point();
    upstream_packet made;
    made.payload = bytes;
    made.finishes = packet->flags.finishes;
    made.resets = packet->flags.resets;
    made.is_returned = packet->flags.returned;
    if (made.is_returned)
    {
        made.flow =
            flow_key{packet->source, packet->destination, transport::tcp};
        const remembered_header& kept = m_headers[packet->note % headers_kept];
        if (packet->note != 0 && kept.note == packet->note &&
            kept.header.flow == made.flow)
        {
            made.delivered_with = kept.header;
        }
        platform::restore_returned(bytes);
        return made;
    }
    made.flow = flow_key{packet->destination, packet->source, transport::tcp};
    if (!packet->data.empty())
    {
        answer_came(made.flow, packet->data);
    }
    if (made.finishes || made.resets)
    {
        upstream_ended(made.flow);
    }
    return made;
}

void flow_delivery::answer_came(const flow_key& flow, payload_view data)
{
    const auto known = m_flows.find(flow);
    if (known != m_flows.end())
    {
        note_answer(flow, known->second, data);
        end_work(known->second, true);
    }
}

void flow_delivery::upstream_ended(const flow_key& flow)
{
    const auto known = m_flows.find(flow);
    if (known != m_flows.end())
    {
        end_work(known->second, true);
    }
}

std::uint64_t flow_delivery::flush()
{
    if (m_to_upstream.size() > 0)
    {
        m_unsent += m_socket.send(m_to_upstream).dropped;
    }
    if (m_to_callers.size() > 0)
    {
        m_unsent += m_socket.send(m_to_callers).dropped;
    }
    return std::exchange(m_unsent, 0);
}

void flow_delivery::note_request(const flow_key& flow, activity& known,
                                 payload_view data)
{
    known.request = platform::request_id(data);
    known.requested = m_now;
    m_requests.push_back(passing_request{flow, known.request, std::nullopt,
                                         duration::zero(), false, m_at_work});
}

void flow_delivery::note_answer(const flow_key& flow, activity& known,
                                payload_view data)
{
    if (!known.has_request)
    {
        return;
    }
    const duration took = m_now - known.requested;
    m_answer_times.add(took);
    m_requests.push_back(passing_request{flow, known.request,
                                         platform::answer_status(data), took,
                                         false, m_at_work});
}

void flow_delivery::note_end(const flow_key& flow, activity& known)
{
    if (known.has_request)
    {
        m_requests.push_back(passing_request{flow, known.request, std::nullopt,
                                             m_now - known.requested, true,
                                             m_at_work});
    }
}

std::vector<passing_request> flow_delivery::take_requests()
{
    return std::exchange(m_requests, {});
}

bool flow_delivery::is_refused(time_point now)
{
    const bool owes =
        m_owed_since != time_point() && now - m_owed_since >= owed_too_long;
    if (owes && now >= m_next_probe)
    {
        m_next_probe = now + probe_interval;
        m_probe.ask(m_upstream);
    }
    const bool refuses = m_probe.take() == port_probe::answer::refuses;
    if (refuses)
    {
        m_owed_since = time_point();
    }
    return refuses;
}

work_change flow_delivery::take_work(time_point now)
{
    m_now = now;
    if (now >= m_next_sweep)
    {
        m_next_sweep = now + sweep_interval;
        for (auto& [flow, known] : m_flows)
        {
            const duration longest =
                known.has_request ? longest_work : opening_time;
            if (now - known.since >= longest)
            {
                end_work(known, false);
            }
        }
    }
    m_work.running = m_running;
    return std::exchange(m_work, {});
}

} // namespace crowlink::internal
