#pragma once

#include "crowlink/packet/caller_packet.hpp"
#include "crowlink/packet/outgoing_datagram.hpp"
#include "crowlink/packet/packet_drop.hpp"
#include "crowlink/packet/received_datagram.hpp"
#include "crowlink/packet/refusal.hpp"

#include <concepts>
#include <cstdint>
#include <span>
#include <tl/expected.hpp>

namespace crowlink
{

// A way in which callers' packets come and answers go. `parse` reads what a
// socket received; `answer` makes of an upstream's payload what the caller
// expects; `refuse` tells a caller that its flow was refused or ended. The
// buffer must outlive the datagram that is yielded. None of them allocates.
template <class Port>
concept caller_port = requires(const Port& port,
                               const received_datagram& received,
                               const flow_key& flow,
                               std::span<const std::uint8_t> payload,
                               const refusal& refused,
                               std::span<std::uint8_t> buffer)
{
    {
        Port::refuses_by_flow
        } -> std::convertible_to<bool>;
    {
        port.parse(received)
        } -> std::same_as<tl::expected<caller_packet, packet_drop>>;
    {
        port.answer(flow, payload, buffer)
        } -> std::same_as<tl::expected<outgoing_datagram, packet_drop>>;
    {
        port.refuse(refused, buffer)
        } -> std::same_as<tl::expected<outgoing_datagram, packet_drop>>;
};

} // namespace crowlink
