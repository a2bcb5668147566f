#pragma once

#include <compare>
#include <string>

namespace crowlink
{

// The answer to a request.
struct http_answer
{
    int status = 0;
    std::string body;

    friend auto operator<=>(const http_answer&, const http_answer&) = default;
};

} // namespace crowlink
