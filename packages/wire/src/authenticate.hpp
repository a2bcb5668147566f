#pragma once

#include "crowlink/wire/datagram_key.hpp"
#include "packet_fields.hpp"

#include <array>
#include <cstdint>
#include <sodium/crypto_shorthash.h>
#include <span>

namespace crowlink::internal
{

static_assert(crypto_shorthash_BYTES == hash_size,
              "the hash at the end of a datagram is a short hash");
static_assert(crypto_shorthash_KEYBYTES ==
                  std::tuple_size_v<decltype(datagram_key::bytes)>,
              "a datagram key is a short hash key");

// SipHash-2-4 of some bytes under a key.
inline std::array<std::uint8_t, hash_size>
authenticate(const datagram_key& key, std::span<const std::uint8_t> bytes)
{
    std::array<std::uint8_t, hash_size> hash{};
    crypto_shorthash(hash.data(), bytes.data(), bytes.size(), key.bytes.data());
    return hash;
}

} // namespace crowlink::internal
