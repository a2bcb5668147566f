#pragma once

#include "crowlink/base/random.hpp"
#include "crowlink/base/time.hpp"
#include "crowlink/membership/announcer_settings.hpp"
#include "crowlink/membership/membership_send.hpp"
#include "crowlink/model/upstream_record.hpp"

#include <cstdint>
#include <vector>

namespace crowlink
{

// The incarnation of a process that starts now: milliseconds of the wall clock
// in the upper 48 bits and random bits below. It increases over restarts
// without persistent storage. If the wall clock was set back, the announcer
// raises the incarnation above the newest one that the observer's answer names.
incarnation first_incarnation(std::uint64_t wall_clock_ms,
                              std::uint64_t random_bits);

// Announces one record, an upstream's or a balancer's, to its home observer and
// keeps its lease. Only this process writes the record, and each change
// increments its sequence. Messages arrive through handle and time through
// tick. The caller calls tick at least every 100 ms.
class announcer
{
public:
    // Starts with the sequence of the record. The seed determines the jitter.
    announcer(announcer_settings settings, upstream_record first,
              std::uint64_t seed, time_point now);

    std::vector<membership_send> handle(time_point now, const host_id& from,
                                        const wire::membership_message& in);

    std::vector<membership_send> tick(time_point now);

    // Announces a new state or weight at once.
    std::vector<membership_send> change(time_point now, upstream_state state,
                                        std::uint32_t weight);

    // Announces the record under another incarnation from now on: its agent has
    // learned the upstream's start. Answers to earlier announcements no longer
    // count.
    std::vector<membership_send> restart(time_point now,
                                         const upstream_record& record);

    // Replaces the set of observers.
    void set_observers(std::vector<observer_info> observers);

    // The record as it was last announced.
    const upstream_record& record() const { return m_record; }

    // Whether the home has accepted the current record.
    bool accepted() const { return m_accepted; }

    // Whether a later process has taken over this one's identity. The announcer
    // then announces nothing more.
    bool superseded() const { return m_superseded; }

    // Whether the observers refuse this process's key for the service. The
    // announcement is retried at the longest backoff.
    bool forbidden() const { return m_forbidden; }

    // Whether the incarnation is this process's own and may be raised; see
    // announcer_settings.
    bool raises_incarnation() const { return m_settings.raises_incarnation; }

    // The start as the agent last gave it; the record's own is later where the
    // observers hold one that they would never replace by this one.
    incarnation given_start() const { return m_given_start; }

    // The observer that the record is announced to at present.
    const host_id& home() const;

private:
    // Sequences begin with the wall clock in milliseconds.
    static constexpr std::uint64_t first_sequence_step = 1000;

    std::vector<membership_send> announce(time_point now);
    std::vector<membership_send> renew(time_point now);
    std::vector<membership_send>
    handle_answer(time_point now, const wire::announcement_answer& in);
    std::vector<membership_send>
    handle_older(time_point now, const wire::announcement_answer& in);
    std::vector<membership_send>
    handle_older_start(time_point now, const wire::announcement_answer& in);
    void fail_over(time_point now);
    void choose_next_home(time_point now);
    duration jittered(duration time);
    void order_observers();
    std::vector<membership_send> send(wire::membership_message message) const;

    announcer_settings m_settings;
    upstream_record m_record;
    incarnation m_given_start;
    seeded_random m_random;
    std::vector<host_id> m_order;
    std::size_t m_home = 0;
    // The observer to which the record was last announced.
    std::size_t m_announced_to = 0;
    bool m_announced = false;
    bool m_accepted = false;
    bool m_ever_accepted = false;
    bool m_superseded = false;
    bool m_forbidden = false;
    bool m_waiting_answer = false;
    // The observers hold a later incarnation than the reported one.
    bool m_is_start_refused = false;
    // Added to a sequence that is refused as older; doubled each time.
    std::uint64_t m_sequence_step = first_sequence_step;
    // The home holds the lease, but fewer than half of its region's observers
    // hear it.
    bool m_is_home_isolated = false;
    int m_attempts = 0;
    std::size_t m_failed_observers = 0;
    duration m_backoff;
    time_point m_next;
    time_point m_return_at;
};

} // namespace crowlink
