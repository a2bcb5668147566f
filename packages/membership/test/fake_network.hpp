#pragma once

#include "crowlink/membership.hpp"

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace crowlink::test
{

// Carries encoded messages between the state machines with loss, duplication,
// delay and partitions, all drawn from one seed.
class fake_network
{
public:
    using receiver = std::function<void(const host_id& from, const host_id& to,
                                        const wire::membership_message&)>;
    using filter = std::function<bool(const host_id& from, const host_id& to,
                                      const wire::membership_message&)>;

    explicit fake_network(std::uint64_t seed) : m_random(seed) {}

    // Probabilities in percent, and the longest extra delay.
    int loss = 0;
    int duplication = 0;
    duration reorder{};
    // Messages for which this returns true are dropped.
    filter drop;

    void send(time_point now, const host_id& from,
              const std::vector<membership_send>& sends)
    {
        for (const membership_send& each : sends)
        {
            if (drop && drop(from, each.to, each.message))
            {
                continue;
            }
            const int copies = chance(duplication) ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy)
            {
                if (!chance(loss))
                {
                    enqueue(now, from, each);
                }
            }
        }
    }

    void deliver(time_point now, const receiver& to)
    {
        while (!m_in_flight.empty() && m_in_flight.begin()->first.first <= now)
        {
            const flight next = std::move(m_in_flight.begin()->second);
            m_in_flight.erase(m_in_flight.begin());
            wire::membership_message message;
            message.ParseFromString(next.bytes);
            to(next.from, next.to, message);
        }
    }

    std::size_t sent() const { return m_order; }

private:
    struct flight
    {
        host_id from;
        host_id to;
        std::string bytes;
    };

    bool chance(int percent)
    {
        return static_cast<int>(m_random() % 100) < percent;
    }

    void enqueue(time_point now, const host_id& from,
                 const membership_send& each)
    {
        time_point at = now + std::chrono::milliseconds(1);
        if (reorder.count() > 0)
        {
            at += duration(static_cast<duration::rep>(
                m_random() % static_cast<std::uint64_t>(reorder.count())));
        }
        m_in_flight.emplace(
            std::make_pair(at, ++m_order),
            flight{from, each.to, each.message.SerializeAsString()});
    }

    seeded_random m_random;
    std::size_t m_order = 0;
    std::map<std::pair<time_point, std::size_t>, flight> m_in_flight;
};

} // namespace crowlink::test
