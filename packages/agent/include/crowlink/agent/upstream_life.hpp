#pragma once

#include "crowlink/agent/upstream_announcement.hpp"
#include "crowlink/agent/upstream_farewell.hpp"
#include "crowlink/base/error.hpp"
#include "crowlink/base/time.hpp"

#include <compare>
#include <cstdint>
#include <deque>
#include <optional>

namespace crowlink
{

// The upstream beside an agent, as its announcements tell.
struct life_status
{
    upstream_id id;
    // Higher in each later life of the same name; absent until it is told.
    std::optional<incarnation> started;
    // Rises with each return after silence: flows of before are lost.
    std::uint32_t returns = 0;
    // Requests that it runs at the same time; 0 where it has not said.
    std::uint32_t slots = 0;
    // Whether it ran before this agent heard of it, so that it may hold flows.
    bool lived_on = false;
    bool leaves = false;
    // Ended by its own word, or silent.
    bool is_gone = false;
    // Its sequence when the agent first heard it; 0 before it has spoken, and
    // after a silence.
    std::uint64_t first_heard = 0;
    // Until when it is cold after its start, by its newest word.
    time_point cold_until{};

    // Whether it had just started when the agent first heard it. What it may
    // hold from before is little, and was opened a moment ago.
    bool is_young() const
    {
        return first_heard > 0 && first_heard <= last_young_sequence;
    }

    // Upstreams announce themselves each second or so, and sooner while nobody
    // answers.
    static constexpr std::uint64_t last_young_sequence = 8;

    friend auto operator<=>(const life_status&, const life_status&) = default;
};

// Follows the lives of the upstream beside an agent, one after the other. A
// life is a name and the time of its start: an upstream that starts again under
// its name holds nothing of before, and its sequence begins anew. An
// announcement of an ended life may come late, when the next one has begun at
// the same address: it is refused. Without I/O.
class upstream_life
{
public:
    // Silence of `patience` counts as the upstream's end, until it is heard
    // again.
    explicit upstream_life(duration patience) : m_patience(patience) {}

    // `conflict` for a life that has ended, `invalid` where the start is
    // missing that this life told before; what is older than the newest
    // announcement of the same life is taken and changes nothing.
    result<void> announce(time_point now,
                          const upstream_announcement& announced);

    // The agent found the upstream by itself, at its own start, before any
    // announcement. Changes nothing where one has come.
    void found(time_point now, const upstream_id& id, bool leaves);

    // The upstream's port is closed: it has ended, whatever it said.
    void refused();

    // The upstream ends by its own word. Of a life that is unknown or has
    // ended nothing is changed.
    void withdraw(time_point now, const upstream_farewell& told);

    // Notices silence.
    void tick(time_point now);

    // Nothing before the first announcement.
    const std::optional<life_status>& status() const { return m_status; }

private:
    // A life that has ended.
    struct ended_life
    {
        upstream_id id;
        std::optional<incarnation> started;
    };

    static time_point cold_until(time_point now,
                                 const upstream_announcement& announced);
    bool has_ended(const upstream_announcement& announced) const;
    result<void> check_start(const upstream_announcement& announced) const;
    bool is_new_life(const upstream_announcement& announced) const;
    void begin(const upstream_announcement& announced);
    void end_present();

    duration m_patience;
    std::optional<life_status> m_status;
    std::uint64_t m_sequence = 0;
    time_point m_heard{};
    // Oldest first, bounded.
    std::deque<ended_life> m_ended;
};

} // namespace crowlink
