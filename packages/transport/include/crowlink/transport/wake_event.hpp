#pragma once

namespace crowlink
{

// Wakes a thread that waits in a poller. Signals that come before the thread
// looks are one signal.
class wake_event
{
public:
    wake_event();
    wake_event(const wake_event&) = delete;
    wake_event& operator=(const wake_event&) = delete;
    ~wake_event();

    int handle() const { return m_handle; }

    // Safe from any thread and from a signal handler.
    void signal() const;
    // Takes the signal; false if there was none.
    bool take() const;

private:
    int m_handle;
};

} // namespace crowlink
