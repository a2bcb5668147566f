#pragma once

namespace crowlink
{

// Token bucket that new requests fill and retries drain. However many requests
// fail, retries are limited to a fixed fraction of new requests plus a burst.
class retry_budget
{
public:
    retry_budget(double ratio, double burst)
        : m_ratio(ratio), m_burst(burst), m_tokens(burst)
    {
    }

    // Credits the budget for one new request.
    void deposit();

    // Takes the token for one retry. Returns false if there is none.
    bool withdraw();

private:
    double m_ratio;
    double m_burst;
    double m_tokens;
};

} // namespace crowlink
