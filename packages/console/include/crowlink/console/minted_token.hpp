#pragma once

#include <string>

namespace crowlink
{

// A new operator's token, to be shown once, and the hash that is stored.
struct minted_token
{
    std::string token;
    std::string hash;
};

// Draws a token from the system's random source.
minted_token mint_token();

// The hash of a token: BLAKE2b (libsodium's crypto_generichash), as hex.
// Tokens are random 256-bit values, so no slow password hash is needed.
std::string hash_token(const std::string& token);

} // namespace crowlink
