#pragma once

#include <compare>
#include <string>

namespace crowlink
{

// One request: a POST if it has a body, otherwise a GET.
struct http_call
{
    std::string path;
    std::string body;

    friend auto operator<=>(const http_call&, const http_call&) = default;
};

} // namespace crowlink
