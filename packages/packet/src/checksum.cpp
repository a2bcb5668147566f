#include "checksum.hpp"

#include "ip_fields.hpp"

#include <array>
#include <bit>
#include <cstring>

namespace crowlink::internal
{

namespace
{

// The sum of ones' complement does not depend on byte order, so that words of
// the machine's order can be added as they are: RFC 1071, section 2(B).
std::uint16_t to_network_order(std::uint16_t value)
{
    if constexpr (std::endian::native == std::endian::little)
    {
        return static_cast<std::uint16_t>(value << 8U | value >> 8U);
    }
    return value;
}

// Up to four bytes as a word, filled up with zeros.
std::uint32_t load(const std::uint8_t* in, std::size_t size)
{
    std::uint32_t word = 0;
    std::memcpy(&word, in, size);
    return word;
}

} // namespace

void checksum::add(std::span<const std::uint8_t> bytes)
{
    constexpr std::size_t word_size = sizeof(std::uint32_t);
    const std::uint8_t* in = bytes.data();
    std::size_t left = bytes.size();
    // Two sums, so that one addition need not wait for the other.
    std::uint64_t first = 0;
    std::uint64_t second = 0;
    while (left >= 2 * word_size)
    {
        first += load(in, word_size);
        second += load(in + word_size, word_size);
        in += 2 * word_size;
        left -= 2 * word_size;
    }
    if (left >= word_size)
    {
        first += load(in, word_size);
        in += word_size;
        left -= word_size;
    }
    second += load(in, left);
    m_sum += first + second;
}

void checksum::add_pseudo_header(const ip_address& source,
                                 const ip_address& destination,
                                 std::uint8_t protocol, std::size_t length)
{
    add(address_bytes(source));
    add(address_bytes(destination));
    std::array<std::uint8_t, 8> tail{};
    put_u32(tail.data(), static_cast<std::uint32_t>(length));
    tail[7] = protocol;
    add(tail);
}

std::uint16_t checksum::value() const
{
    std::uint64_t sum = m_sum;
    while (sum >> 16U != 0)
    {
        sum = (sum & 0xffffU) + (sum >> 16U);
    }
    return to_network_order(static_cast<std::uint16_t>(~sum));
}

} // namespace crowlink::internal
