#pragma once

#include <string>

namespace crowlink
{

// The files of the HTTP interface's certificate and private key, as PEM.
struct tls_settings
{
    std::string certificate;
    std::string key;

    friend auto operator<=>(const tls_settings&, const tls_settings&) = default;
};

} // namespace crowlink
