#pragma once

#include "crowlink/base/flow_key.hpp"

#include <cstddef>
#include <cstdint>
#include <span>

namespace crowlink::internal
{

// The Internet checksum (RFC 1071) of pieces that are added one by one. Only
// the last piece may be of odd length.
class checksum
{
public:
    void add(std::span<const std::uint8_t> bytes);

    // The pseudo header of a segment: RFC 9293, section 3.1, and RFC 8200,
    // section 8.1.
    void add_pseudo_header(const ip_address& source,
                           const ip_address& destination, std::uint8_t protocol,
                           std::size_t length);

    // The value to write into a header whose checksum field counted as zero;
    // zero if the pieces held their own right checksum.
    std::uint16_t value() const;

private:
    std::uint64_t m_sum = 0;
};

} // namespace crowlink::internal
