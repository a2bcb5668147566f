#include "crowlink/packet/tcp_reset.hpp"

#include "ip_fields.hpp"
#include "segment.hpp"

namespace crowlink
{

namespace
{

// The sequence space that a segment takes: its data, SYN and FIN.
std::uint32_t length_of(std::span<const std::uint8_t> segment)
{
    constexpr unsigned offset_shift = 4;
    constexpr std::size_t word = 4;
    const std::size_t header =
        (segment[internal::tcp::data_offset_at] >> offset_shift) * word;
    const std::uint8_t flags = segment[internal::tcp::flags_at];
    const bool syn = (flags & internal::tcp::syn) != 0;
    const bool fin = (flags & internal::tcp::fin) != 0;
    return static_cast<std::uint32_t>(segment.size() - header) +
           static_cast<std::uint32_t>(syn) + static_cast<std::uint32_t>(fin);
}

} // namespace

std::optional<tcp_reset>
reset_answering(std::span<const std::uint8_t> ip_packet)
{
    const auto packet = internal::read_ip(ip_packet);
    if (!packet)
    {
        return std::nullopt;
    }
    const auto read = internal::read_segment(*packet);
    if (!read || read->flow.protocol != transport::tcp ||
        read->role == packet_role::resets)
    {
        return std::nullopt;
    }
    const auto segment = packet->segment;
    const std::uint8_t flags = segment[internal::tcp::flags_at];
    const std::uint32_t received =
        internal::get_u32(segment.data() + internal::tcp::sequence_at);
    tcp_reset reset;
    reset.acknowledgement = received + length_of(segment);
    if ((flags & internal::tcp::ack) != 0)
    {
        reset.sequence = internal::get_u32(segment.data() +
                                           internal::tcp::acknowledgement_at);
    }
    return reset;
}

} // namespace crowlink
