#pragma once

#include "crowlink/base/flow_key.hpp"
#include "crowlink/forwarding/candidate.hpp"
#include "packet_fields.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <google/protobuf/io/coded_stream.h>
#include <span>

namespace crowlink::internal
{

// Appends protobuf fields to memory that is known to be large enough. As
// proto3 does, it leaves out fields that are zero. All is inline, so that the
// position stays in a register: a byte that is written could otherwise be a
// part of it, for all that the compiler knows.
class message_writer
{
public:
    explicit message_writer(std::uint8_t* out) : m_out(out) {}

    std::uint8_t* position() const { return m_out; }

    void put_varint(std::uint32_t tag, std::uint32_t value)
    {
        if (value == 0)
        {
            return;
        }
        put_byte(tag);
        m_out = output::WriteVarint32ToArray(value, m_out);
    }

    void put_fixed32(std::uint32_t tag, std::uint32_t value)
    {
        if (value == 0)
        {
            return;
        }
        put_byte(tag);
        m_out = output::WriteLittleEndian32ToArray(value, m_out);
    }

    void put_fixed64(std::uint32_t tag, std::uint64_t value)
    {
        if (value == 0)
        {
            return;
        }
        put_byte(tag);
        m_out = output::WriteLittleEndian64ToArray(value, m_out);
    }

    void put_endpoint(std::uint32_t tag, const endpoint& value)
    {
        constexpr std::size_t v4_size = 4;
        constexpr std::size_t all = ip_address::byte_count;
        const std::uint8_t* const bytes = value.address.bytes().data();
        std::uint8_t* const length = begin_nested(tag);
        // Two copies of fixed size are faster than one of a size that varies.
        m_out = value.address.is_v4()
                    ? std::copy_n(bytes + all - v4_size, v4_size, m_out)
                    : std::copy_n(bytes, all, m_out);
        put_byte(value.port >> 8U);
        put_byte(value.port & 0xffU);
        end_nested(length);
    }

    void put_flow(std::uint32_t tag, const flow_key& value)
    {
        std::uint8_t* const length = begin_nested(tag);
        put_endpoint(flow_tag::caller, value.caller);
        put_endpoint(flow_tag::service, value.service);
        put_varint(flow_tag::protocol,
                   static_cast<std::uint32_t>(value.protocol));
        end_nested(length);
    }

    void put_candidate(std::uint32_t tag, const candidate& value)
    {
        std::uint8_t* const length = begin_nested(tag);
        put_endpoint(candidate_tag::agent, value.agent);
        put_fixed32(candidate_tag::mark, value.tag);
        end_nested(length);
    }

    void put_bytes(std::uint32_t tag, std::span<const std::uint8_t> value)
    {
        put_byte(tag);
        m_out = output::WriteVarint32ToArray(
            static_cast<std::uint32_t>(value.size()), m_out);
        m_out = std::copy(value.begin(), value.end(), m_out);
    }

    // The tag and length of a payload, without the payload itself.
    void put_payload_head(std::size_t size)
    {
        put_varint(payload_tag, static_cast<std::uint32_t>(size));
    }

private:
    using output = google::protobuf::io::CodedOutputStream;

    void put_byte(std::uint32_t value)
    {
        *m_out++ = static_cast<std::uint8_t>(value);
    }

    // Writes the tag of a nested message and leaves a byte for its length.
    std::uint8_t* begin_nested(std::uint32_t tag)
    {
        put_byte(tag);
        return m_out++;
    }

    // Fills in the length, which is less than 128 for all our messages.
    void end_nested(std::uint8_t* length)
    {
        *length = static_cast<std::uint8_t>(m_out - length - 1);
    }

    std::uint8_t* m_out;
};

} // namespace crowlink::internal
