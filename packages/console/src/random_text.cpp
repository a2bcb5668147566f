#include "random_text.hpp"

#include <sodium.h>
#include <stdexcept>
#include <vector>

namespace crowlink::internal
{

std::string to_hex(std::span<const unsigned char> bytes)
{
    // The library writes a terminating zero as well.
    std::string text(2 * bytes.size() + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
    text.pop_back();
    return text;
}

std::string random_hex(std::size_t bytes)
{
    if (sodium_init() < 0)
    {
        throw std::runtime_error("libsodium cannot be initialised");
    }
    std::vector<unsigned char> drawn(bytes);
    randombytes_buf(drawn.data(), drawn.size());
    return to_hex(drawn);
}

} // namespace crowlink::internal
