#pragma once

#include "crowlink/base/error.hpp"

#include <compare>
#include <string>

namespace crowlink
{

// A CURVE key pair (ZeroMQ RFC 26), each key as 40 characters of Z85.
struct curve_key_pair
{
    std::string public_key;
    std::string secret_key;

    // A new pair from the library's random source.
    static result<curve_key_pair> generate();

    friend auto operator<=>(const curve_key_pair&,
                            const curve_key_pair&) = default;
};

} // namespace crowlink
