#pragma once

#include "crowlink/requests/message_codec.hpp"
#include "crowlink/requests/request_caller.hpp"

namespace crowlink::bench
{

// The usual retry policy without thought: at once, up to ten attempts, with no
// budget, and deaf to the time that a refusal tells.
class naive_caller
{
public:
    naive_caller(const caller_settings& settings, seeded_random random)
        : m_caller(heedless(settings), random)
    {
    }

    request_id submit(time_point now, outgoing_request request,
                      caller_effects& effects)
    {
        return m_caller.submit(now, std::move(request), effects);
    }

    void receive(time_point now, path_index path, std::string_view datagram,
                 caller_effects& effects)
    {
        auto message = decode_agent_message(datagram);
        if (auto* answer = std::get_if<answer_part>(&*message))
        {
            answer->retry_after = duration::zero();
        }
        m_caller.receive(now, path, encode(*message), effects);
    }

    void advance(time_point now, caller_effects& effects)
    {
        m_caller.advance(now, effects);
    }

    time_point next_wakeup() const { return m_caller.next_wakeup(); }

private:
    static caller_settings heedless(caller_settings settings)
    {
        settings.retry_ratio = 1000;
        settings.retry_burst = 1e9;
        settings.attempt_limit = 10;
        settings.backoff = duration::zero();
        return settings;
    }

    request_caller m_caller;
};

} // namespace crowlink::bench
