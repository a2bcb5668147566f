#pragma once

#include <chrono>
#include <mutex>

namespace crowlink::internal
{

// Lets one thread of the process at a time work on a whole document. More at
// once would not be faster on a host that has a part of a core; they would take
// the memory of several documents, and keep the control thread from the heap
// that all threads share.
class document_turns
{
public:
    using turn = std::unique_lock<std::timed_mutex>;

    turn wait() { return turn(m_taken); }
    // Owns nothing if there was no turn in time.
    turn wait_for(std::chrono::milliseconds patience)
    {
        return {m_taken, patience};
    }

private:
    std::timed_mutex m_taken;
};

} // namespace crowlink::internal
