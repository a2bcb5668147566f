#include "message_reader.hpp"

#include "packet_fields.hpp"

#include <algorithm>
#include <array>

namespace crowlink::internal
{

namespace
{

constexpr std::size_t port_size = 2;
constexpr std::size_t v4_size = 4;

std::uint16_t port_at(const std::uint8_t* bytes)
{
    return static_cast<std::uint16_t>(bytes[0] << 8U | bytes[1]);
}

bool known_transport(std::uint32_t value)
{
    return value == static_cast<std::uint32_t>(transport::tcp) ||
           value == static_cast<std::uint32_t>(transport::udp);
}

} // namespace

message_reader::message_reader(std::span<const std::uint8_t> bytes)
    : m_bytes(bytes), m_input(bytes.data(), static_cast<int>(bytes.size()))
{
}

std::uint32_t message_reader::next_tag()
{
    const auto position = static_cast<std::size_t>(m_input.CurrentPosition());
    if (m_failure || position == m_bytes.size())
    {
        return 0;
    }
    const std::uint32_t found = m_input.ReadTag();
    if (found == 0)
    {
        fail(datagram_drop::malformed);
    }
    return found;
}

std::uint32_t message_reader::varint()
{
    std::uint64_t value = 0;
    if (!m_input.ReadVarint64(&value))
    {
        fail(datagram_drop::malformed);
        return 0;
    }
    if (value > UINT32_MAX)
    {
        fail(datagram_drop::out_of_range);
        return 0;
    }
    return static_cast<std::uint32_t>(value);
}

std::uint32_t message_reader::varint(std::uint32_t limit)
{
    const std::uint32_t value = varint();
    if (value > limit)
    {
        fail(datagram_drop::out_of_range);
        return 0;
    }
    return value;
}

std::uint32_t message_reader::fixed32()
{
    std::uint32_t value = 0;
    if (!m_input.ReadLittleEndian32(&value))
    {
        fail(datagram_drop::malformed);
    }
    return value;
}

std::uint64_t message_reader::fixed64()
{
    std::uint64_t value = 0;
    if (!m_input.ReadLittleEndian64(&value))
    {
        fail(datagram_drop::malformed);
    }
    return value;
}

std::span<const std::uint8_t> message_reader::bytes()
{
    std::uint32_t size = 0;
    if (!m_input.ReadVarint32(&size))
    {
        fail(datagram_drop::malformed);
        return {};
    }
    const auto start = static_cast<std::size_t>(m_input.CurrentPosition());
    // Fails for a size beyond the end, and for one that is no int.
    if (!m_input.Skip(static_cast<int>(size)))
    {
        fail(datagram_drop::malformed);
        return {};
    }
    return m_bytes.subspan(start, size);
}

endpoint message_reader::read_endpoint()
{
    const auto raw = bytes();
    if (raw.size() == v4_size + port_size)
    {
        return endpoint{ip_address::from_v4(raw.first<v4_size>()),
                        port_at(raw.data() + v4_size)};
    }
    if (raw.size() == ip_address::byte_count + port_size)
    {
        ip_address::bytes_type address{};
        std::copy_n(raw.begin(), address.size(), address.begin());
        return endpoint{ip_address(address),
                        port_at(raw.data() + address.size())};
    }
    fail(datagram_drop::malformed);
    return {};
}

flow_key message_reader::read_flow()
{
    message_reader nested(bytes());
    flow_key value;
    std::uint32_t protocol = 0;
    while (const std::uint32_t found = nested.next_tag())
    {
        switch (found)
        {
        case flow_tag::caller:
            value.caller = nested.read_endpoint();
            break;
        case flow_tag::service:
            value.service = nested.read_endpoint();
            break;
        case flow_tag::protocol:
            protocol = nested.varint();
            break;
        default:
            nested.skip(found);
        }
    }
    adopt(nested);
    if (!known_transport(protocol))
    {
        fail(datagram_drop::out_of_range);
        return value;
    }
    value.protocol = static_cast<transport>(protocol);
    return value;
}

candidate message_reader::read_candidate()
{
    message_reader nested(bytes());
    candidate value;
    while (const std::uint32_t found = nested.next_tag())
    {
        switch (found)
        {
        case candidate_tag::agent:
            value.agent = nested.read_endpoint();
            break;
        case candidate_tag::mark:
            value.tag = nested.fixed32();
            break;
        default:
            nested.skip(found);
        }
    }
    adopt(nested);
    return value;
}

void message_reader::skip(std::uint32_t tag)
{
    constexpr std::uint32_t type_mask = 7;
    switch (static_cast<wire_type>(tag & type_mask))
    {
    case wire_type::varint:
    {
        std::uint64_t unused = 0;
        if (!m_input.ReadVarint64(&unused))
        {
            fail(datagram_drop::malformed);
        }
        return;
    }
    case wire_type::fixed64:
        fixed64();
        return;
    case wire_type::bytes:
        bytes();
        return;
    case wire_type::fixed32:
        fixed32();
        return;
    }
    // Groups are not part of proto3.
    fail(datagram_drop::malformed);
}

void message_reader::fail(datagram_drop reason)
{
    if (!m_failure)
    {
        m_failure = reason;
    }
}

void message_reader::adopt(const message_reader& nested)
{
    if (nested.m_failure)
    {
        fail(*nested.m_failure);
    }
}

} // namespace crowlink::internal
