#pragma once

#include "crowlink/base/flow_key.hpp"
#include "crowlink/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace crowlink::internal
{

// Tells from a caller's packets alone whether its flow is dead: a caller that
// is served acknowledges, one that is not repeats what it sent. For flows that
// were sent on to an upstream that control does not hear.
class repeat_watch
{
public:
    // Callers repeat unacknowledged data after 200 ms; what comes closer
    // together is one request in several packets.
    static constexpr duration repeat_after = std::chrono::milliseconds(180);
    // Flows that are watched; beyond that none is added.
    static constexpr std::size_t most_flows = 4096;
    // A flow that was quiet for so long is forgotten.
    static constexpr duration lifetime = std::chrono::seconds(10);

    // A packet with data or one that opens, by its place in what the caller
    // sends: whether it repeats an earlier one. A caller that goes on was
    // answered, perhaps without a packet that only acknowledges.
    bool sent(time_point now, const flow_key& flow, std::uint32_t sequence);
    // A packet that only acknowledges: the flow is served.
    void acknowledged(const flow_key& flow) { m_first.erase(flow); }
    void forget(const flow_key& flow) { m_first.erase(flow); }
    void expire(time_point now);

private:
    // The first packet that nothing has followed up.
    struct unanswered
    {
        time_point sent;
        std::uint32_t sequence = 0;
    };

    std::unordered_map<flow_key, unanswered> m_first;
};

} // namespace crowlink::internal
