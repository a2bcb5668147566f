#pragma once

#include "crowlink/agent/peer_message.hpp"
#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/flow_key.hpp"
#include "crowlink/forwarding/packet_header.hpp"
#include "crowlink/model/service_view.hpp"

#include <cstdint>
#include <memory>
#include <span>

namespace crowlink
{

// The bytes after a packet header, or an upstream's answer. The agent never
// parses them.
using payload_view = std::span<const std::uint8_t>;

// Whether a caller's packet expects an answer, as far as the I/O layer knows.
enum class answer_need : std::uint8_t
{
    // A datagram: it counts as unanswered only when the caller retransmits.
    unknown,
    // For example a TCP acknowledgement without data.
    none,
    // A request, or a TCP segment with data or SYN.
    required,
};

// A packet came from a balancer or from another agent.
struct packet_arrived
{
    const packet_header& header;
    payload_view payload;
    answer_need need = answer_need::unknown;
    // The packet is the caller's last in its direction: a TCP FIN.
    bool finishes = false;
    // The caller retransmits by itself when nothing arrives: a flow that can't
    // be opened now need not be refused yet.
    bool will_retransmit = false;
    // The packet's offset in the caller's byte stream: retransmissions of a
    // packet have the same sequence.
    std::uint32_t sequence = 0;
    // Of an opening packet: 0 for the first one, 1 and 2 for the copies that
    // the caller sent 200 and 600 ms after it.
    std::uint32_t copy = 0;
};

// The upstream sent a packet to the caller of a flow.
struct upstream_answered
{
    const flow_key& flow;
    payload_view payload;
    // The upstream's last in its direction: a TCP FIN.
    bool finishes = false;
};

// The upstream rejected a packet that was delivered to it with this header: it
// can't open the flow, or does not hold it.
struct packet_returned
{
    const packet_header& header;
    payload_view payload;
};

// The upstream ended one flow, by an orderly close or by a reset.
struct upstream_closed
{
    const flow_key& flow;
    bool failed = false;
};

// The upstream's process ended or can't be reached: all its flows are lost.
struct upstream_failed
{
};

// At the agent's start: the upstream was already running and still holds its
// flows, so the agent may adopt them.
struct upstream_survived
{
    // The upstream had just started by its own report: any flow that it holds
    // was opened moments ago, and only the latest tables list it.
    bool has_just_started = false;
};

// What the upstream reports about its start.
struct upstream_start_reported
{
    // The upstream is cold until then; a past time when it is warm.
    time_point cold_until{};
    // The agent has just started beside the upstream, and does not know which
    // flows the upstream got in the second before.
    bool is_second_before_unknown = false;
    // The agent found the upstream at its own start, and may identify its
    // incarnation differently from peers until the upstream announces itself.
    bool is_incarnation_uncertain = false;
    // The requests that it runs concurrently; 0 where it has not told.
    std::uint32_t slots = 0;
};

// Another agent sent a message.
struct message_arrived
{
    const endpoint& from;
    const peer_message& message;
};

// Control has a new view of the service. Older views are ignored.
struct view_changed
{
    std::shared_ptr<const service_view> view;
};

// The upstream leaves at its own request; it keeps its flows and takes no new
// one.
struct leave_requested
{
};

// Work of some kind began at the upstream; `weight` is declared for the kind.
struct work_started
{
    std::uint32_t weight = 1;
};

// That work ended; `completed` if it was answered, false if it was abandoned.
struct work_ended
{
    std::uint32_t weight = 1;
    bool completed = true;
};

// The requests at the upstream, counted from the arrival of their data and not
// from the opening of their flow, and those that have completed since the last
// such event.
struct requests_counted
{
    std::uint64_t running = 0;
    std::uint32_t completed = 0;
};

// Time has passed; sent every 50 to 250 ms.
struct tick
{
};

} // namespace crowlink
