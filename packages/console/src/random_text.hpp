#pragma once

#include <cstddef>
#include <span>
#include <string>

namespace crowlink::internal
{

// Bytes as lower-case hex digits.
std::string to_hex(std::span<const unsigned char> bytes);

// So many random bytes of libsodium's source, as hex digits.
std::string random_hex(std::size_t bytes);

} // namespace crowlink::internal
