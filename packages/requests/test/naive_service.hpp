#pragma once

#include <algorithm>
#include <string>

namespace crowlink::test
{

// A service in one process: each request runs at once, exactly once. What a
// request is answered depends on its kind and body alone.
class naive_service
{
public:
    // What long bodies are filled up with.
    static constexpr char filling = 'x';

    static std::string answer(const std::string& kind, const std::string& body)
    {
        return kind + ":" + std::string(body.rbegin(), body.rend());
    }
};

} // namespace crowlink::test
