#include "crowlink/requests/retry_budget.hpp"

#include <algorithm>

namespace crowlink
{

void retry_budget::deposit()
{
    m_tokens = std::min(m_burst, m_tokens + m_ratio);
}

bool retry_budget::withdraw()
{
    if (m_tokens < 1.0)
    {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

} // namespace crowlink
