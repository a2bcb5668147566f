#pragma once

#include "agent/passing_request.hpp"
#include "agent/port_probe.hpp"
#include "crowlink/agent/agent_events.hpp"
#include "crowlink/base/flow_key.hpp"
#include "crowlink/base/latency_histogram.hpp"
#include "crowlink/platform/flow_packet_port.hpp"
#include "crowlink/platform/wire_packet.hpp"
#include "crowlink/transport/datagram_batch.hpp"
#include "crowlink/transport/poller.hpp"
#include "crowlink/transport/udp_socket.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace crowlink::internal
{

// What a caller's packet says of itself beside its header.
struct packet_nature
{
    answer_need need = answer_need::unknown;
    bool finishes = false;
    bool comes_again = false;
    std::uint32_t sequence = 0;
    // Of an opening packet; see packet_arrived.
    std::uint32_t copy = 0;
};

// Something that came from the upstream.
struct upstream_packet
{
    flow_key flow;
    payload_view payload;
    bool finishes = false;
    bool resets = false;
    // Present if it is a caller's packet that the upstream does not take: the
    // header that it was delivered with, if that is still known.
    bool is_returned = false;
    std::optional<packet_header> delivered_with;
};

// Requests that began and ended at the upstream, as far as passing packets
// tell.
struct work_change
{
    std::uint32_t started = 0;
    std::uint32_t completed = 0;
    std::uint32_t given_up = 0;
    // The requests that are at the upstream now, from the arrival of their
    // data, and those of them that completed.
    std::uint32_t running = 0;
    std::uint32_t requests_completed = 0;
};

// Delivers packets of the users' platform to an upstream on this host, and
// sends what the upstream sends straight to the callers.
class flow_delivery
{
public:
    flow_delivery(udp_socket outbound, const endpoint& upstream,
                  std::uint16_t caller_port, poller& waiting,
                  poller::token token);

    // Reads a caller's packet that is about to be handled; nothing if it is
    // malformed.
    std::optional<packet_nature> inspect(payload_view payload) const;
    // The header of the packet that is being handled; null after it.
    void handling(const packet_header* header) { m_header = header; }

    bool deliver(const flow_key& flow, payload_view payload);
    void close(const flow_key& flow);

    // The upstream has begun to answer the flow's request.
    void answer_came(const flow_key& flow, payload_view data = {});

    // The upstream has ended its side of the flow: nothing of it runs there.
    void upstream_ended(const flow_key& flow);

    // To the caller.
    void answer(const flow_key& flow, payload_view payload);
    // A reset; only where the caller's latest acknowledgement is known, from
    // what was delivered or from the packet that is answered, or where the
    // connection isn't open.
    void reset(const flow_key& flow, payload_view answered, bool is_open);

    // Reads the upstream's socket; calls take(upstream_packet) for each.
    template <class Take>
    void receive(datagram_batch& batch, const Take& take);

    // Sends what was delivered and answered.
    std::uint64_t flush();

    // Asks the upstream's port, if the upstream owes something and has said
    // nothing for a while; yields whether it turned out to be closed.
    bool is_refused(time_point now);

    // The requests that began or ended since this was last asked.
    std::vector<passing_request> take_requests();
    // How long upstreams took to begin an answer.
    const latency_histogram& answer_times() const { return m_answer_times; }

    // What changed since this was last asked.
    work_change take_work(time_point now);

private:
    struct activity
    {
        bool is_busy = false;
        // The request itself has come, not just the connection.
        bool has_request = false;
        // All of the request's data has come: the upstream can run it.
        bool is_running = false;
        time_point since{};
        std::uint32_t acknowledged = 0;
        // Behind the last of the caller's data that came; what lies before it
        // comes again. Empty before the first.
        std::optional<std::uint32_t> next_sequence;
        // Of the request that runs; empty where its packet named none.
        std::string request;
        time_point requested{};
    };

    struct remembered_header
    {
        std::uint32_t note = 0;
        packet_header header;
    };

    // A returned packet comes back within a round trip on one host, so that
    // far fewer are on their way.
    static constexpr std::size_t headers_kept = 256;

    std::optional<upstream_packet> read(std::span<std::uint8_t> bytes);
    std::uint32_t remember();
    // Whether the packet carries data that has not come before; notes it.
    static bool brings_data(activity& known,
                            const platform::wire_packet& packet);
    // Whether the packet is the last of a request's data.
    static bool ends_request(const platform::wire_packet& packet);
    void end_work(activity& flow, bool completed);
    void note_request(const flow_key& flow, activity& known, payload_view data);
    void note_answer(const flow_key& flow, activity& known, payload_view data);
    void note_end(const flow_key& flow, activity& known);
    void put(datagram_batch& batch, payload_view payload, const endpoint& to);

    udp_socket m_socket;
    endpoint m_upstream;
    platform::flow_packet_port m_port;
    std::unordered_map<flow_key, activity> m_flows;
    std::array<remembered_header, headers_kept> m_headers;
    std::uint32_t m_next_note = 1;
    const packet_header* m_header = nullptr;
    datagram_batch m_to_upstream;
    datagram_batch m_to_callers;
    work_change m_work;
    // Requests that are at the upstream now.
    std::uint32_t m_at_work = 0;
    // Those of them whose data has arrived.
    std::uint32_t m_running = 0;
    std::vector<passing_request> m_requests;
    latency_histogram m_answer_times;
    time_point m_next_sweep{};
    time_point m_now{};
    // When something was delivered that nothing has come after; zero if
    // nothing is owed.
    time_point m_owed_since{};
    time_point m_next_probe{};
    port_probe m_probe;
    std::vector<std::uint8_t> m_buffer;
    std::uint64_t m_unsent = 0;
};

template <class Take>
void flow_delivery::receive(datagram_batch& batch, const Take& take)
{
    const std::size_t count = m_socket.receive(batch);
    for (std::size_t at = 0; at < count; ++at)
    {
        if (batch.truncated(at))
        {
            continue;
        }
        const auto packet = read(batch.writable(at));
        if (packet)
        {
            take(*packet);
        }
    }
}

} // namespace crowlink::internal
