#include "crowlink/packet/ip_in_udp_port.hpp"

#include "ip_writer.hpp"
#include "segment.hpp"

namespace crowlink
{

namespace
{

using byte_view = std::span<const std::uint8_t>;

tl::expected<caller_packet, packet_drop> read(byte_view bytes)
{
    const auto packet = internal::read_ip(bytes);
    if (!packet)
    {
        return tl::unexpected(packet.error());
    }
    return internal::read_segment(*packet);
}

// Whether an IP packet goes from a flow's service to its caller.
bool answers(const flow_key& flow, const flow_key& packet)
{
    return packet.protocol == flow.protocol && packet.caller == flow.service &&
           packet.service == flow.caller;
}

} // namespace

tl::expected<caller_packet, packet_drop>
ip_in_udp_port::parse(const received_datagram& received) const
{
    return read(received.bytes);
}

tl::expected<outgoing_datagram, packet_drop>
ip_in_udp_port::answer(const flow_key& flow,
                       std::span<const std::uint8_t> payload,
                       std::span<std::uint8_t> buffer) const
{
    if (flow.protocol == transport::udp)
    {
        const auto size = internal::write_udp(flow, payload, buffer);
        if (!size)
        {
            return tl::unexpected(size.error());
        }
        return outgoing_datagram{m_local, m_gateway, buffer.first(*size)};
    }
    const auto packet = read(payload);
    if (!packet)
    {
        return tl::unexpected(packet.error());
    }
    if (!answers(flow, packet->flow))
    {
        return tl::unexpected(packet_drop::foreign);
    }
    return outgoing_datagram{m_local, m_gateway, packet->payload};
}

tl::expected<outgoing_datagram, packet_drop>
ip_in_udp_port::refuse(const refusal& refused,
                       std::span<std::uint8_t> buffer) const
{
    const bool tcp = refused.flow.protocol == transport::tcp;
    const auto size = tcp ? internal::write_reset(refused, buffer)
                          : internal::write_unreachable(refused.flow, buffer);
    if (!size)
    {
        return tl::unexpected(size.error());
    }
    return outgoing_datagram{m_local, m_gateway, buffer.first(*size)};
}

} // namespace crowlink
