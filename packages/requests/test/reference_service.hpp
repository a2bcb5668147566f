#pragma once

#include <algorithm>
#include <string>

namespace crowlink::test
{

// Reference model of a service in one process that runs each request exactly
// once. The answer depends only on the kind and the body.
class reference_service
{
public:
    // The character that pads long bodies.
    static constexpr char filler = 'x';

    static std::string answer(const std::string& kind, const std::string& body)
    {
        return kind + ":" + std::string(body.rbegin(), body.rend());
    }
};

} // namespace crowlink::test
