#pragma once

#include "event_queue.hpp"
#include "experiment.hpp"
#include "packet_text.hpp"
#include "work_record.hpp"

#include "crowlink/base/random.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>

namespace crowlink::placement
{

// One upstream: connections, slots with a queue, and a cold start. It answers
// through the hooks, and keeps its own record of what it ran.
class fake_upstream
{
public:
    struct hooks
    {
        // A request waits for a slot or runs; it ended with an answer or not.
        std::function<void()> work_started;
        std::function<void(bool completed)> work_ended;
        std::function<void(const packet_text&)> answered;
        // The packet belongs to no connection here, or there is no room.
        std::function<void(const packet_text&)> refused;
    };

    fake_upstream(const experiment& settings, event_queue& events,
                  work_record& record, std::uint64_t seed)
        : m_settings(settings)
        , m_events(events)
        , m_record(record)
        , m_random(seed)
    {
    }

    void set_hooks(hooks value) { m_hooks = std::move(value); }

    // Starts a new life without connections.
    void start();
    // Ends at once; everything that it knew is lost.
    void crash();
    // While stalled, nothing that runs comes to an end.
    void set_stalled(bool stalled);
    // The load endpoint says idle from now on, or the truth.
    void set_lying(bool lying) { m_lying = lying; }

    void deliver(const packet_text& packet);
    // The other side ended the connection.
    void forget(std::uint32_t flow) { m_connections.erase(flow); }

    bool alive() const { return m_alive; }
    bool stalled() const { return m_stalled; }
    time_point started() const { return m_started; }
    bool knows(std::uint32_t flow) const
    {
        return m_connections.count(flow) != 0;
    }
    std::size_t connections() const { return m_connections.size(); }
    // Requests that run or wait.
    std::size_t work() const { return m_running + m_waiting.size(); }
    // What the load endpoint says of its connections.
    std::size_t reported() const { return m_lying ? 0 : connections(); }

private:
    struct connection
    {
        std::uint32_t next = 0;
        bool busy = false;
    };

    void accept(const packet_text& packet, connection& known);
    void begin(const packet_text& packet);
    void complete(const packet_text& packet, std::uint64_t life);
    duration work_time();

    const experiment& m_settings;
    event_queue& m_events;
    work_record& m_record;
    seeded_random m_random;
    hooks m_hooks;
    std::unordered_map<std::uint32_t, connection> m_connections;
    std::deque<packet_text> m_waiting;
    // Completions that a stall holds back.
    std::deque<packet_text> m_held;
    std::size_t m_running = 0;
    std::uint64_t m_life = 0;
    time_point m_started{};
    bool m_alive = false;
    bool m_stalled = false;
    bool m_lying = false;
};

} // namespace crowlink::placement
