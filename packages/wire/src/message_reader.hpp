#pragma once

#include "crowlink/base/flow_key.hpp"
#include "crowlink/forwarding/candidate.hpp"
#include "crowlink/wire/datagram_drop.hpp"

#include <cstdint>
#include <google/protobuf/io/coded_stream.h>
#include <optional>
#include <span>

namespace crowlink::internal
{

// Reads protobuf fields from bytes. The first failure is kept, and every later
// read yields an empty value, so that a caller checks once at the end.
class message_reader
{
public:
    explicit message_reader(std::span<const std::uint8_t> bytes);

    // The tag of the next field; zero at the end or after a failure.
    std::uint32_t next_tag();

    std::uint32_t varint();
    // A varint of at most `limit`; more is out of range.
    std::uint32_t varint(std::uint32_t limit);
    std::uint32_t fixed32();
    std::uint64_t fixed64();
    endpoint read_endpoint();
    flow_key read_flow();
    candidate read_candidate();
    // The bytes of a field, as a view.
    std::span<const std::uint8_t> bytes();
    // Passes over a field that this version does not know.
    void skip(std::uint32_t tag);

    void fail(datagram_drop reason);
    const std::optional<datagram_drop>& failure() const { return m_failure; }

private:
    // Fails with the failure of the reader of a nested message, if any.
    void adopt(const message_reader& nested);

    std::span<const std::uint8_t> m_bytes;
    google::protobuf::io::CodedInputStream m_input;
    std::optional<datagram_drop> m_failure;
};

} // namespace crowlink::internal
