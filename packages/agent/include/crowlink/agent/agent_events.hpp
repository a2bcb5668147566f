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

// The bytes behind a packet header, or an upstream's answer. The core never
// looks into them.
using payload_view = std::span<const std::uint8_t>;

// Whether a caller's packet waits for an answer, as far as the shell knows.
enum class answer_need : std::uint8_t
{
    // A datagram: it counts as unanswered only when the caller repeats itself.
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
    // The caller sends it again by itself if nothing comes: a flow that can't
    // be opened now need not be refused yet.
    bool comes_again = false;
    // Where the packet begins in what the caller sends on this flow: copies of
    // one packet have the same place.
    std::uint32_t sequence = 0;
};

// The upstream sent something to the caller of a flow.
struct upstream_answered
{
    const flow_key& flow;
    payload_view payload;
    // The upstream's last in its direction: a TCP FIN.
    bool finishes = false;
};

// The upstream does not take a packet that was delivered to it with this
// header: it can't open the flow, or does not hold it.
struct packet_returned
{
    const packet_header& header;
    payload_view payload;
};

// The upstream ended one flow, in order or by a reset.
struct upstream_closed
{
    const flow_key& flow;
    bool failed = false;
};

// The upstream's process ended or can't be reached: all its flows are lost.
struct upstream_failed
{
};

// At the agent's start: the upstream lived on and still knows its flows, so
// the agent may take them up again.
struct upstream_lived_on
{
    // It had just started then, as far as it tells: what it may hold was opened
    // a moment ago, and no table of before the last few names it.
    bool is_young = false;
};

// What the upstream says of its start.
struct upstream_told
{
    // Until when it is cold; a past time where it is warm.
    time_point cold_until{};
    // The agent has just started beside it, and what it was sent in the second
    // before is not known.
    bool is_second_before_unknown = false;
    // The agent found the upstream at its own start, and may name its life in
    // another way than peers do until the upstream has spoken.
    bool is_life_uncertain = false;
};

// Another agent sent a message.
struct message_arrived
{
    const endpoint& from;
    const peer_message& message;
};

// Control has another view of the service. Older ones are ignored.
struct view_changed
{
    std::shared_ptr<const service_view> view;
};

// The upstream leaves by its own wish; it keeps its flows, takes no new one.
struct leave_requested
{
};

// Work of some kind began at the upstream; `weight` as its kind declares.
struct work_started
{
    std::uint32_t weight = 1;
};

// That work ended; `completed` if it was answered rather than given up.
struct work_ended
{
    std::uint32_t weight = 1;
    bool completed = true;
};

// Time has passed; sent every 50 to 250 ms.
struct tick
{
};

} // namespace crowlink
