#pragma once

#include "crowlink/agent.hpp"

#include <cstdint>
#include <variant>

namespace crowlink::bench
{

// Effects that are only counted.
struct bench_effects
{
    std::uint64_t delivered = 0;
    std::uint64_t forwarded = 0;
    std::uint64_t answered = 0;
    std::uint64_t sent = 0;
    std::uint64_t redirects = 0;

    void deliver(const flow_key&, payload_view) { ++delivered; }
    void forward(const endpoint&, const packet_header&, payload_view)
    {
        ++forwarded;
    }
    void answer(const endpoint&, const flow_key&, payload_view) { ++answered; }
    void refuse(const endpoint&, const flow_key&, payload_view,
                const flow_refusal&)
    {
    }
    void reset_caller(const endpoint&, const flow_key&, payload_view,
                      const flow_refusal&)
    {
    }
    void reset_upstream(const flow_key&, refusal_reason) {}
    void close(const flow_key&) {}
    void send(const endpoint&, const peer_message& message)
    {
        ++sent;
        if (const auto* notice = std::get_if<redirect_notice>(&message))
        {
            redirects += notice->flows.size();
        }
    }
    void announce(const upstream_record&) {}
    void decide(const flow_decision&) {}
};

} // namespace crowlink::bench
