#pragma once

#include <chrono>
#include <concepts>

namespace crowlink
{

// Time as the state machines see it: nanoseconds of a monotonic clock whose
// origin means nothing. It is always passed in, never read inside a core.
using duration = std::chrono::nanoseconds;
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

// A source of monotonic time. Shells use the steady clock; tests use a clock
// that they move by hand.
template <class Clock>
concept clock_source = requires(const Clock& clock)
{
    {
        clock.now()
        } -> std::same_as<time_point>;
};

// The clock of the running machine.
class steady_clock_source
{
public:
    time_point now() const { return std::chrono::steady_clock::now(); }
};

// A clock that stands still until it is moved; for tests and benches.
class manual_clock
{
public:
    time_point now() const { return m_now; }
    void advance(duration step) { m_now += step; }

private:
    time_point m_now{};
};

static_assert(clock_source<steady_clock_source>,
              "the machine's clock must satisfy the clock concept");
static_assert(clock_source<manual_clock>,
              "the manual clock must satisfy the clock concept");

} // namespace crowlink
