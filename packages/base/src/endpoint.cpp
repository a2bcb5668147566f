#include "crowlink/base/endpoint.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <fmt/format.h>

namespace crowlink
{

namespace
{

constexpr std::array<std::uint8_t, 12> v4_prefix{0, 0, 0, 0, 0,    0,
                                                 0, 0, 0, 0, 0xff, 0xff};
constexpr std::size_t v4_offset = v4_prefix.size();

result<std::uint16_t> parse_port(std::string_view text, std::string_view whole)
{
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto [stop, code] = std::from_chars(text.data(), end, port);
    if (code != std::errc{} || stop != end)
    {
        return fail(error_kind::invalid, std::string(whole),
                    "the port must be a number from 0 to 65535");
    }
    return port;
}

} // namespace

ip_address ip_address::from_v4(std::span<const std::uint8_t, 4> bytes)
{
    bytes_type mapped{};
    std::copy(v4_prefix.begin(), v4_prefix.end(), mapped.begin());
    std::copy(bytes.begin(), bytes.end(), mapped.begin() + v4_offset);
    return ip_address(mapped);
}

result<ip_address> ip_address::parse(std::string_view text)
{
    const std::string copy(text);
    std::array<std::uint8_t, 4> v4{};
    if (inet_pton(AF_INET, copy.c_str(), v4.data()) == 1)
    {
        return from_v4(v4);
    }
    bytes_type v6{};
    if (inet_pton(AF_INET6, copy.c_str(), v6.data()) == 1)
    {
        return ip_address(v6);
    }
    return fail(error_kind::invalid, copy,
                "this is neither an IPv4 nor an IPv6 address");
}

bool ip_address::is_v4() const
{
    return std::equal(v4_prefix.begin(), v4_prefix.end(), m_bytes.begin());
}

std::string ip_address::to_string() const
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    const bool v4 = is_v4();
    const void* source = v4 ? m_bytes.data() + v4_offset : m_bytes.data();
    inet_ntop(v4 ? AF_INET : AF_INET6, source, text.data(), text.size());
    return text.data();
}

result<endpoint> endpoint::parse(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return fail(error_kind::invalid, std::string(text),
                    "an endpoint is written ADDRESS:PORT");
    }
    std::string_view host = text.substr(0, colon);
    const bool bracketed =
        host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
    {
        host = host.substr(1, host.size() - 2);
    }
    else if (host.find(':') != std::string_view::npos)
    {
        return fail(error_kind::invalid, std::string(text),
                    "an IPv6 endpoint is written [ADDRESS]:PORT");
    }
    const auto address = ip_address::parse(host);
    if (!address)
    {
        return tl::unexpected(address.error());
    }
    const auto port = parse_port(text.substr(colon + 1), text);
    if (!port)
    {
        return tl::unexpected(port.error());
    }
    return endpoint{*address, *port};
}

std::string endpoint::to_string() const
{
    if (address.is_v4())
    {
        return fmt::format("{}:{}", address.to_string(), port);
    }
    return fmt::format("[{}]:{}", address.to_string(), port);
}

} // namespace crowlink
