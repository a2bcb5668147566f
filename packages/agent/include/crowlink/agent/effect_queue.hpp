#pragma once

#include "crowlink/agent/agent_effects.hpp"

#include <type_traits>
#include <variant>
#include <vector>

namespace crowlink::internal
{

struct deliver_effect
{
    flow_key flow;
    payload_view payload;
};

struct forward_effect
{
    endpoint to;
    packet_header header;
    payload_view payload;
};

struct refuse_effect
{
    endpoint to;
    flow_key flow;
    payload_view payload;
    flow_refusal told;
};

struct reset_caller_effect
{
    endpoint to;
    flow_key flow;
    payload_view payload;
    flow_refusal told;
};

struct reset_upstream_effect
{
    flow_key flow;
    refusal_reason reason = refusal_reason::silent;
};

struct close_effect
{
    flow_key flow;
};

struct send_effect
{
    endpoint to;
    peer_message message;
};

// The effects of one event, in order, before they are carried out. The
// decisions thus need no template parameter: only the last step knows the type
// of the effects.
class effect_queue
{
public:
    using effect =
        std::variant<deliver_effect, forward_effect, refuse_effect,
                     reset_caller_effect, reset_upstream_effect, close_effect,
                     send_effect, upstream_record, flow_decision>;

    template <class Effect>
    void add(Effect value)
    {
        m_effects.emplace_back(std::move(value));
    }

    // Carries out the queued effects and empties the queue.
    template <agent_effects Effects>
    void flush(Effects& effects)
    {
        for (const effect& next : m_effects)
        {
            std::visit([&effects](const auto& value) { apply(value, effects); },
                       next);
        }
        m_effects.clear();
    }

private:
    template <class Effect, agent_effects Effects>
    static void apply(const Effect& value, Effects& effects)
    {
        if constexpr (std::is_same_v<Effect, deliver_effect>)
        {
            effects.deliver(value.flow, value.payload);
        }
        else if constexpr (std::is_same_v<Effect, forward_effect>)
        {
            effects.forward(value.to, value.header, value.payload);
        }
        else if constexpr (std::is_same_v<Effect, refuse_effect>)
        {
            effects.refuse(value.to, value.flow, value.payload, value.told);
        }
        else if constexpr (std::is_same_v<Effect, reset_caller_effect>)
        {
            effects.reset_caller(value.to, value.flow, value.payload,
                                 value.told);
        }
        else if constexpr (std::is_same_v<Effect, reset_upstream_effect>)
        {
            effects.reset_upstream(value.flow, value.reason);
        }
        else if constexpr (std::is_same_v<Effect, close_effect>)
        {
            effects.close(value.flow);
        }
        else if constexpr (std::is_same_v<Effect, send_effect>)
        {
            effects.send(value.to, value.message);
        }
        else if constexpr (std::is_same_v<Effect, upstream_record>)
        {
            effects.announce(value);
        }
        else
        {
            effects.decide(value);
        }
    }

    std::vector<effect> m_effects;
};

} // namespace crowlink::internal
