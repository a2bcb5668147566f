#pragma once

#include "crowlink/model/service_view.hpp"
#include "crowlink/requests/request_admission.hpp"
#include "crowlink/transport/datagram_batch.hpp"
#include "crowlink/transport/poller.hpp"
#include "crowlink/transport/udp_socket.hpp"

#include <optional>
#include <span>

namespace crowlink::internal
{

// Stands between the packet path and an upstream whose service has kinds of
// requests: what callers send are requests then, and are admitted one by one.
// The effects that concern the agent's core are collected for it.
class request_stage
{
public:
    request_stage(const endpoint& upstream, poller& waiting,
                  poller::token token, incarnation own);

    // Takes in the kinds and limits of the service.
    void apply(time_point now, const service& declared);

    // Whether the service has kinds of requests.
    bool active() const { return m_core.has_value(); }

    void take_from_caller(time_point now, const flow_key& flow,
                          std::span<const std::uint8_t> payload);
    // Reads what the upstream answered.
    void receive(time_point now, datagram_batch& batch);
    void advance(time_point now);

    // What is for callers and for the agent; the caller empties it.
    admission_effects& effects() { return m_effects; }

    // Sends what is for the upstream.
    void send();

    std::uint64_t unsent() const { return m_unsent; }

private:
    bool connect();

    endpoint m_upstream;
    poller& m_poller;
    poller::token m_token;
    incarnation m_own;
    std::optional<udp_socket> m_socket;
    std::optional<request_admission> m_core;
    bool m_is_lost = false;
    admission_effects m_effects;
    std::uint64_t m_unsent = 0;
};

} // namespace crowlink::internal
