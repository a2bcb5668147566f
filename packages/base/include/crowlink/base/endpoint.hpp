#pragma once

#include "crowlink/base/ip_address.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace crowlink
{

// An address and a UDP or TCP port in host byte order.
struct endpoint
{
    ip_address address;
    std::uint16_t port = 0;

    // Reads "192.0.2.1:80" or "[2001:db8::1]:80"; an error names the text.
    static result<endpoint> parse(std::string_view text);

    std::string to_string() const;

    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

} // namespace crowlink
