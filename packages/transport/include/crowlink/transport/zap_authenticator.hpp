#pragma once

#include "crowlink/settings/key_grants.hpp"

#include <atomic>
#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>
#include <zmq.hpp>

namespace crowlink
{

// Answers libzmq's question whether a connection's key is admitted (ZeroMQ
// RFC 27), from a thread of its own. A socket's ZAP domain is the role that its
// peers must have, or several joined by '+'. The admitted key becomes the
// connection's user id, which each received message carries.
//
// One authenticator serves all sockets of a context and must be made before
// they are bound.
class zap_authenticator
{
public:
    // Connections that were decided on since the start.
    struct counts
    {
        std::uint64_t admitted = 0;
        std::uint64_t strangers = 0;
        std::uint64_t wrong_role = 0;
        std::uint64_t revoked = 0;

        friend auto operator<=>(const counts&, const counts&) = default;
    };

    zap_authenticator(zmq::context_t& context, key_grants grants);
    zap_authenticator(const zap_authenticator&) = delete;
    zap_authenticator& operator=(const zap_authenticator&) = delete;
    ~zap_authenticator();

    // Replaces the grants for connections to come. Messages of connections
    // that are open are judged by `grants()`.
    void replace(key_grants grants);
    std::shared_ptr<const key_grants> grants() const;

    counts counted() const;

private:
    enum class decision : std::uint8_t
    {
        admitted,
        stranger,
        wrong_role,
        revoked,
    };

    void run();
    void answer(const std::vector<zmq::message_t>& request);
    decision decide(const std::string& key, const std::string& domain);
    void count(decision made);

    zmq::socket_t m_questions;
    zmq::socket_t m_stop_sender;
    zmq::socket_t m_stop_receiver;
    std::shared_ptr<const key_grants> m_grants;
    std::atomic<std::uint64_t> m_admitted{0};
    std::atomic<std::uint64_t> m_strangers{0};
    std::atomic<std::uint64_t> m_wrong_role{0};
    std::atomic<std::uint64_t> m_revoked{0};
    std::thread m_thread;
};

} // namespace crowlink
