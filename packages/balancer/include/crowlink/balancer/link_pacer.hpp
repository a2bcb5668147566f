#pragma once

#include "crowlink/base/time.hpp"

namespace crowlink
{

// Paces bytes at a rate. A packet may be taken while the balance is positive,
// even if it is larger than the balance; the debt delays the next one. Hence a
// packet larger than the bucket still passes.
class link_pacer
{
public:
    // `depth` is the longest idle time that is saved for a burst.
    link_pacer(double bytes_per_second, duration depth);

    // Adds what has accrued since the last call. While packets wait, a late
    // call still credits half of its delay, even beyond the depth: a host with
    // a small share of a core may run only every 100 ms, and would otherwise
    // use a fifth of its link.
    void refill(time_point now, bool is_waiting);

    bool is_open() const { return m_balance > 0.0; }
    void take(std::size_t size) { m_balance -= static_cast<double>(size); }

    // When the balance is positive again; the time of the last refill if it is.
    time_point opens_at() const;
    double bytes_per_second() const { return m_rate; }

private:
    double m_rate;
    double m_depth;
    double m_balance;
    time_point m_last{};
};

} // namespace crowlink
