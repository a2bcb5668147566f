#pragma once

namespace crowlink
{

// A token bucket that fresh requests fill and retries empty: however many
// requests fail, the retries stay below a fixed fraction of the fresh ones.
class retry_budget
{
public:
    retry_budget(double ratio, double burst)
        : m_ratio(ratio), m_burst(burst), m_tokens(burst)
    {
    }

    // Counts one fresh request.
    void deposit();

    // Takes the token for one retry, if there is one.
    bool withdraw();

private:
    double m_ratio;
    double m_burst;
    double m_tokens;
};

} // namespace crowlink
