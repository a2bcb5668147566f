#pragma once

#include "crowlink/base/flow_key.hpp"
#include "crowlink/forwarding/candidate.hpp"

#include <cstddef>
#include <cstdint>
#include <span>

namespace crowlink::internal
{

// Appends protobuf fields to memory that is known to be large enough. As
// proto3 does, it leaves out fields that are zero.
class message_writer
{
public:
    explicit message_writer(std::uint8_t* out) : m_out(out) {}

    std::uint8_t* position() const { return m_out; }

    void put_varint(std::uint32_t tag, std::uint32_t value);
    void put_fixed32(std::uint32_t tag, std::uint32_t value);
    void put_fixed64(std::uint32_t tag, std::uint64_t value);
    void put_endpoint(std::uint32_t tag, const endpoint& value);
    void put_flow(std::uint32_t tag, const flow_key& value);
    void put_candidate(std::uint32_t tag, const candidate& value);
    // The tag and length of a payload, without the payload itself.
    void put_payload_head(std::size_t size);

private:
    // Writes the tag of a nested message and leaves a byte for its length.
    std::uint8_t* begin_nested(std::uint32_t tag);
    // Fills in the length, which is less than 128 for all our messages.
    void end_nested(std::uint8_t* length);

    std::uint8_t* m_out;
};

} // namespace crowlink::internal
