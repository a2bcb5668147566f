#include "message_writer.hpp"

#include "packet_fields.hpp"

#include <algorithm>
#include <google/protobuf/io/coded_stream.h>

namespace crowlink::internal
{

namespace
{

using output = google::protobuf::io::CodedOutputStream;

constexpr std::size_t v4_offset = 12;
constexpr std::size_t v4_size = ip_address::byte_count - v4_offset;

// All our field numbers are below 16, so that a tag is one byte.
std::uint8_t* put_tag(std::uint32_t tag, std::uint8_t* out)
{
    *out = static_cast<std::uint8_t>(tag);
    return out + 1;
}

} // namespace

void message_writer::put_varint(std::uint32_t tag, std::uint32_t value)
{
    if (value == 0)
    {
        return;
    }
    m_out = put_tag(tag, m_out);
    m_out = output::WriteVarint32ToArray(value, m_out);
}

void message_writer::put_fixed32(std::uint32_t tag, std::uint32_t value)
{
    if (value == 0)
    {
        return;
    }
    m_out = put_tag(tag, m_out);
    m_out = output::WriteLittleEndian32ToArray(value, m_out);
}

void message_writer::put_fixed64(std::uint32_t tag, std::uint64_t value)
{
    if (value == 0)
    {
        return;
    }
    m_out = put_tag(tag, m_out);
    m_out = output::WriteLittleEndian64ToArray(value, m_out);
}

void message_writer::put_endpoint(std::uint32_t tag, const endpoint& value)
{
    std::uint8_t* const length = begin_nested(tag);
    const std::uint8_t* const bytes = value.address.bytes().data();
    // Two copies of fixed size are faster than one of a size that varies.
    if (value.address.is_v4())
    {
        m_out = std::copy_n(bytes + v4_offset, v4_size, m_out);
    }
    else
    {
        m_out = std::copy_n(bytes, ip_address::byte_count, m_out);
    }
    *m_out++ = static_cast<std::uint8_t>(value.port >> 8U);
    *m_out++ = static_cast<std::uint8_t>(value.port & 0xffU);
    end_nested(length);
}

void message_writer::put_flow(std::uint32_t tag, const flow_key& value)
{
    std::uint8_t* const length = begin_nested(tag);
    put_endpoint(flow_tag::caller, value.caller);
    put_endpoint(flow_tag::service, value.service);
    put_varint(flow_tag::protocol, static_cast<std::uint32_t>(value.protocol));
    end_nested(length);
}

void message_writer::put_candidate(std::uint32_t tag, const candidate& value)
{
    std::uint8_t* const length = begin_nested(tag);
    put_endpoint(candidate_tag::agent, value.agent);
    put_fixed32(candidate_tag::mark, value.tag);
    end_nested(length);
}

void message_writer::put_payload_head(std::size_t size)
{
    if (size == 0)
    {
        return;
    }
    m_out = put_tag(payload_tag, m_out);
    m_out =
        output::WriteVarint32ToArray(static_cast<std::uint32_t>(size), m_out);
}

std::uint8_t* message_writer::begin_nested(std::uint32_t tag)
{
    m_out = put_tag(tag, m_out);
    return m_out++;
}

void message_writer::end_nested(std::uint8_t* length)
{
    *length = static_cast<std::uint8_t>(m_out - length - 1);
}

} // namespace crowlink::internal
