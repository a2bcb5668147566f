#pragma once

#include "crowlink/base/error.hpp"

#include <array>
#include <compare>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace crowlink
{

// An IPv4 or IPv6 address in network byte order. IPv4 is held in its
// IPv4-mapped form (RFC 4291, section 2.5.5.2).
class ip_address
{
public:
    static constexpr std::size_t byte_count = 16;
    using bytes_type = std::array<std::uint8_t, byte_count>;

    // The unspecified address "::".
    constexpr ip_address() = default;
    constexpr explicit ip_address(const bytes_type& bytes) : m_bytes(bytes) {}

    // An IPv4 address from its four bytes in network order.
    static ip_address from_v4(std::span<const std::uint8_t, 4> bytes);

    // Reads dotted decimal or RFC 4291 text; an error names the text.
    static result<ip_address> parse(std::string_view text);

    bool is_v4() const;
    const bytes_type& bytes() const { return m_bytes; }
    std::string to_string() const;

    friend auto operator<=>(const ip_address&, const ip_address&) = default;

private:
    bytes_type m_bytes{};
};

} // namespace crowlink
