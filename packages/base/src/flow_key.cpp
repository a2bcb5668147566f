#include "crowlink/base/flow_key.hpp"

#include "crowlink/base/hash.hpp"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <xxhash.h>

namespace crowlink
{

namespace
{

constexpr std::size_t endpoint_size = ip_address::byte_count + 2;
constexpr std::uint64_t flow_seed = 0x63726f776c696e6bULL;

std::uint8_t* put(const endpoint& value, std::uint8_t* out)
{
    out = std::copy(value.address.bytes().begin(), value.address.bytes().end(),
                    out);
    *out++ = static_cast<std::uint8_t>(value.port >> 8U);
    *out++ = static_cast<std::uint8_t>(value.port & 0xffU);
    return out;
}

} // namespace

std::string flow_key::to_string() const
{
    return fmt::format("{} {} > {}", protocol == transport::tcp ? "tcp" : "udp",
                       caller.to_string(), service.to_string());
}

std::uint64_t stable_hash(const flow_key& key)
{
    std::array<std::uint8_t, 2 * endpoint_size + 1> bytes{};
    std::uint8_t* out = put(key.caller, bytes.data());
    out = put(key.service, out);
    *out = static_cast<std::uint8_t>(key.protocol);
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), flow_seed);
}

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t combine_hash(std::uint64_t first, std::uint64_t second)
{
    std::array<std::uint8_t, 16> bytes{};
    for (std::size_t i = 0; i < 8; ++i)
    {
        bytes[i] = static_cast<std::uint8_t>(first >> (8 * i));
        bytes[8 + i] = static_cast<std::uint8_t>(second >> (8 * i));
    }
    return XXH3_64bits(bytes.data(), bytes.size());
}

} // namespace crowlink
