#include "caller_request.hpp"

#include <algorithm>

namespace crowlink::internal
{

verdict verdict_without_answer(const caller_request& request)
{
    const bool proven =
        std::all_of(request.attempts.begin(), request.attempts.end(),
                    [](const caller_attempt& attempt)
                    { return attempt.state == attempt_state::not_run; });
    return proven ? verdict::not_run : verdict::may_have_run;
}

bool has_outstanding(const caller_request& request)
{
    return std::any_of(request.attempts.begin(), request.attempts.end(),
                       [](const caller_attempt& attempt)
                       { return attempt.state == attempt_state::outstanding; });
}

std::size_t last_outstanding(const caller_request& request)
{
    std::size_t index = request.attempts.size() - 1;
    while (request.attempts[index].state != attempt_state::outstanding)
    {
        --index;
    }
    return index;
}

} // namespace crowlink::internal
