#pragma once

#include "crowlink/agent/upstream_announcement.hpp"
#include "crowlink/agent/upstream_withdrawal.hpp"
#include "crowlink/base/error.hpp"
#include "crowlink/base/time.hpp"

#include <compare>
#include <cstdint>
#include <deque>
#include <optional>

namespace crowlink
{

// The state of the upstream beside an agent, according to its announcements.
struct tracked_upstream
{
    upstream_id id;
    // Higher in each later incarnation of the same name; absent until
    // announced.
    std::optional<incarnation> started;
    // Increases with each return after silence: earlier flows are lost.
    std::uint32_t returns = 0;
    // The number of requests that it runs concurrently; 0 until announced.
    std::uint32_t slots = 0;
    // Whether it ran before the agent first heard it, so that it may hold
    // flows.
    bool was_running = false;
    bool leaves = false;
    // Whether it has withdrawn or is silent.
    bool is_gone = false;
    // The sequence of the first announcement that the agent heard; 0 before any
    // announcement, and after a silence.
    std::uint64_t first_heard = 0;
    // The upstream is cold until then, by its latest announcement.
    time_point cold_until{};

    // Whether it had just started when the agent first heard it. It then holds
    // few earlier flows, all opened moments ago.
    bool has_just_started() const
    {
        return first_heard > 0 && first_heard <= last_early_sequence;
    }

    // Upstreams announce themselves about once a second, and more often while
    // nobody answers.
    static constexpr std::uint64_t last_early_sequence = 8;

    friend auto operator<=>(const tracked_upstream&,
                            const tracked_upstream&) = default;
};

// Tracks the successive incarnations of the upstream beside an agent. An
// incarnation is a name and a start time: an upstream that restarts under its
// name holds no earlier flow, and its sequence restarts. An announcement of an
// ended incarnation that arrives after the next one has begun at the same
// address is refused. Without I/O.
class upstream_tracker
{
public:
    // Silence for `silence_timeout` counts as the upstream's end, until it is
    // heard again.
    explicit upstream_tracker(duration silence_timeout)
        : m_silence_timeout(silence_timeout)
    {
    }

    // Records an announcement. Fails with `conflict` for an incarnation that
    // has ended, and with `invalid` if the start is missing that the
    // incarnation announced before. An announcement older than the newest one
    // of the same incarnation is accepted without effect.
    result<void> announce(time_point now,
                          const upstream_announcement& announced);

    // The agent found the upstream at its own start, before any announcement.
    // Has no effect after an announcement.
    void found(time_point now, const upstream_id& id, bool leaves);

    // The upstream's port is closed: it has ended, regardless of its
    // announcements.
    void refused();

    // The upstream announces its end. Has no effect for an incarnation that is
    // unknown or has ended.
    void withdraw(time_point now, const upstream_withdrawal& told);

    // Detects silence.
    void tick(time_point now);

    // Empty before the first announcement.
    const std::optional<tracked_upstream>& status() const { return m_status; }

private:
    // An incarnation that has ended.
    struct ended_incarnation
    {
        upstream_id id;
        std::optional<incarnation> started;
    };

    static time_point cold_until(time_point now,
                                 const upstream_announcement& announced);
    bool has_ended(const upstream_announcement& announced) const;
    result<void> check_start(const upstream_announcement& announced) const;
    bool is_new_incarnation(const upstream_announcement& announced) const;
    void begin(const upstream_announcement& announced);
    void end_current();

    duration m_silence_timeout;
    std::optional<tracked_upstream> m_status;
    std::uint64_t m_sequence = 0;
    time_point m_last_heard{};
    // Oldest first, bounded.
    std::deque<ended_incarnation> m_ended;
};

} // namespace crowlink
