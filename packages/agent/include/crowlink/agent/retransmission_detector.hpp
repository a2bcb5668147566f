#pragma once

#include "crowlink/base/flow_key.hpp"
#include "crowlink/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace crowlink::internal
{

// Detects from a caller's packets alone that its flow is not served: a served
// caller acknowledges, an unserved one retransmits. For flows whose packets
// were forwarded to an upstream that control does not hear.
class retransmission_detector
{
public:
    // Callers retransmit unacknowledged data after 200 ms; packets that are
    // closer together are one request in several packets.
    static constexpr duration retransmit_after = std::chrono::milliseconds(180);
    // The limit of observed flows; beyond it none is added.
    static constexpr std::size_t max_flows = 4096;
    // A flow without packets for this long is erased.
    static constexpr duration lifetime = std::chrono::seconds(10);

    // Records a packet with data or one that opens the flow. Returns whether it
    // retransmits an earlier sequence. A caller that advances has been
    // answered, perhaps without a separate acknowledgement.
    bool note_data(time_point now, const flow_key& flow,
                   std::uint32_t sequence);
    // Records a packet that only acknowledges: the flow is served.
    void acknowledged(const flow_key& flow) { m_unacknowledged.erase(flow); }
    void forget(const flow_key& flow) { m_unacknowledged.erase(flow); }
    void expire(time_point now);

private:
    // The first packet that no later sequence has followed.
    struct unanswered
    {
        time_point sent;
        std::uint32_t sequence = 0;
    };

    std::unordered_map<flow_key, unanswered> m_unacknowledged;
};

} // namespace crowlink::internal
