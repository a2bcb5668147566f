#pragma once

#include "crowlink/agent/agent_events.hpp"
#include "crowlink/agent/flow_decision.hpp"
#include "crowlink/agent/flow_refusal.hpp"
#include "crowlink/agent/peer_message.hpp"
#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/flow_key.hpp"
#include "crowlink/forwarding/packet_header.hpp"
#include "crowlink/model/upstream_record.hpp"

namespace crowlink
{

// The outputs of an agent. The I/O layer carries out each of them immediately
// and without blocking; none of them calls back into the agent.
//
//   deliver         a caller's packet to the upstream; opens what it needs
//   forward         a caller's packet to another agent
//   answer          an upstream's packet to a balancer, for the caller
//   refuse          tells the caller at once that its packet was not accepted;
//                   the payload is that of the refused packet
//   reset_caller    tells the caller that its flow has ended; the payload is
//                   the packet that can't be delivered, or empty
//   reset_upstream  tells the upstream that the flow has ended
//   close           discards the flow's state; follows every end
//   send            a message to another agent
//   announce        the upstream's new record to control
//   decide          one decision, for the log
template <class Effects>
concept agent_effects = requires(
    Effects& effects, const endpoint& to, const flow_key& flow,
    const packet_header& header, payload_view payload, const flow_refusal& told,
    refusal_reason reason, const peer_message& message,
    const upstream_record& record, const flow_decision& decision)
{
    effects.deliver(flow, payload);
    effects.forward(to, header, payload);
    effects.answer(to, flow, payload);
    effects.refuse(to, flow, payload, told);
    effects.reset_caller(to, flow, payload, told);
    effects.reset_upstream(flow, reason);
    effects.close(flow);
    effects.send(to, message);
    effects.announce(record);
    effects.decide(decision);
};

} // namespace crowlink
