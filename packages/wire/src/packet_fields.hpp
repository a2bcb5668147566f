#pragma once

#include <cstddef>
#include <cstdint>

namespace crowlink::internal
{

// How protobuf encodes a field: the low three bits of its tag.
enum class wire_type : std::uint32_t
{
    varint = 0,
    fixed64 = 1,
    bytes = 2,
    fixed32 = 5,
};

// The tag of a field below 16: one byte on the wire.
constexpr std::uint32_t tag(std::uint32_t field, wire_type type)
{
    return (field << 3U) | static_cast<std::uint32_t>(type);
}

// Which message of proto/packet.proto follows the prefix.
enum class datagram_kind : std::uint8_t
{
    forward = 1,
    answer = 2,
    notice = 3,
    redirect = 4,
    withdrawal = 5,
    peer = 6,
};

// The prefix of a datagram: one byte each for version, key and kind, and two
// for the length of the authenticated part in network byte order.
namespace prefix
{
constexpr std::uint8_t version = 1;
constexpr std::size_t version_at = 0;
constexpr std::size_t key_at = 1;
constexpr std::size_t kind_at = 2;
constexpr std::size_t length_at = 3;
constexpr std::size_t size = 5;
} // namespace prefix

constexpr std::size_t hash_size = 8;

// The tags of proto/packet.proto.
namespace flow_tag
{
constexpr auto caller = tag(1, wire_type::bytes);
constexpr auto service = tag(2, wire_type::bytes);
constexpr auto protocol = tag(3, wire_type::varint);
} // namespace flow_tag

namespace candidate_tag
{
constexpr auto agent = tag(1, wire_type::bytes);
constexpr auto mark = tag(2, wire_type::fixed32);
} // namespace candidate_tag

namespace forward_tag
{
constexpr auto service = tag(1, wire_type::varint);
constexpr auto table = tag(2, wire_type::fixed64);
constexpr auto flow = tag(3, wire_type::bytes);
constexpr auto role = tag(4, wire_type::varint);
constexpr auto pass = tag(5, wire_type::varint);
constexpr auto position = tag(6, wire_type::varint);
constexpr auto hops = tag(7, wire_type::varint);
constexpr auto current = tag(8, wire_type::bytes);
constexpr auto previous = tag(9, wire_type::bytes);
constexpr auto return_to = tag(10, wire_type::bytes);
constexpr auto best = tag(11, wire_type::varint);
constexpr auto best_load = tag(12, wire_type::varint);
constexpr auto omits_services = tag(13, wire_type::varint);
} // namespace forward_tag

namespace answer_tag
{
constexpr auto flow = tag(1, wire_type::bytes);
} // namespace answer_tag

namespace notice_tag
{
constexpr auto flow = tag(1, wire_type::bytes);
constexpr auto outcome = tag(2, wire_type::varint);
constexpr auto reason = tag(3, wire_type::varint);
constexpr auto retry_after = tag(4, wire_type::varint);
constexpr auto sequence = tag(5, wire_type::fixed32);
constexpr auto acknowledgement = tag(6, wire_type::fixed32);
} // namespace notice_tag

namespace redirect_tag
{
constexpr auto flow = tag(1, wire_type::bytes);
constexpr auto service = tag(2, wire_type::varint);
constexpr auto receiver = tag(3, wire_type::fixed32);
constexpr auto owner = tag(4, wire_type::bytes);
constexpr auto lifetime = tag(5, wire_type::varint);
} // namespace redirect_tag

namespace peer_tag
{
constexpr auto message = tag(1, wire_type::bytes);
} // namespace peer_tag

// The payload is the last field of the messages that have one.
constexpr auto payload_tag = tag(15, wire_type::bytes);

} // namespace crowlink::internal
