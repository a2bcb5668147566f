#pragma once

#include "crowlink/wire/datagram.hpp"
#include "crowlink/wire/datagram_drop.hpp"
#include "crowlink/wire/key_ring.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <tl/expected.hpp>

namespace crowlink
{

// Turns datagrams into bytes and back without allocation. The bytes are a
// prefix (format version, key number, kind, length of the authenticated part),
// a message of proto/packet.proto in protobuf's wire format, and SipHash-2-4
// (Aumasson and Bernstein 2012) of prefix and message up to the payload. The
// payload itself is not hashed: see docs/design/forwarding.md.
//
//   std::array<std::uint8_t, datagram_codec::buffer_size> buffer;
//   const std::size_t size = codec.encode(value, buffer);
//   const auto back = codec.decode(std::span(buffer).first(size));
class datagram_codec
{
public:
    // The most that a datagram adds to its payload.
    static constexpr std::size_t overhead_limit = 384;
    // The most that an IP packet holds.
    static constexpr std::size_t payload_limit = 65535;
    // The most that an agent's message to another agent holds, so that it fits
    // an Ethernet frame.
    static constexpr std::size_t peer_limit = 1400;
    // Enough for any datagram.
    static constexpr std::size_t buffer_size = payload_limit + overhead_limit;

    explicit datagram_codec(const key_ring& keys) : m_keys(keys) {}

    // Writes a datagram to the buffer and yields its size; zero if the payload
    // is larger than payload_limit, or the buffer has less room than the
    // payload and overhead_limit.
    std::size_t encode(const forward_datagram& value,
                       std::span<std::uint8_t> out) const;
    std::size_t encode(const answer_datagram& value,
                       std::span<std::uint8_t> out) const;
    std::size_t encode(const notice_datagram& value,
                       std::span<std::uint8_t> out) const;
    std::size_t encode(const redirect_datagram& value,
                       std::span<std::uint8_t> out) const;
    std::size_t encode(const withdrawal_datagram& value,
                       std::span<std::uint8_t> out) const;
    std::size_t encode(const peer_datagram& value,
                       std::span<std::uint8_t> out) const;
    std::size_t encode(const datagram& value,
                       std::span<std::uint8_t> out) const;

    // Reads a datagram; payloads are views into the bytes.
    tl::expected<datagram, datagram_drop>
    decode(std::span<const std::uint8_t> bytes) const;

private:
    // Why bytes are not authentic, if they are not.
    std::optional<datagram_drop>
    check(std::span<const std::uint8_t> bytes) const;
    const datagram_key* find_key(std::uint8_t id) const;

    key_ring m_keys;
};

} // namespace crowlink
