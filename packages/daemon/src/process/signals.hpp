#pragma once

#include "crowlink/base/time.hpp"

#include <optional>

namespace crowlink::internal
{

// Signals as a queue of the main thread. SIGTERM, SIGINT and SIGHUP are blocked
// in every thread that is started while this lives.
class signals
{
public:
    signals();
    signals(const signals&) = delete;
    signals& operator=(const signals&) = delete;
    ~signals();

    // The next signal's number, or empty once the time has passed.
    std::optional<int> wait(duration longest) const;

private:
    int m_handle;
};

} // namespace crowlink::internal
