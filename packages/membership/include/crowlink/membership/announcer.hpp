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
// in the upper 48 bits and random bits below. It rises over restarts without a
// disk; where the wall clock went back, the observers' answer raises it.
incarnation first_incarnation(std::uint64_t wall_clock_ms,
                              std::uint64_t random_bits);

// Announces one record, an upstream's or a balancer's, to a home observer and
// keeps its lease. Only this process writes the record: each change raises its
// sequence. Messages to it and time come in through handle and tick; the shell
// calls tick at least every 100 ms.
class announcer
{
public:
    // The record's sequence is taken as a start; the seed drives the jitter.
    announcer(announcer_settings settings, upstream_record first,
              std::uint64_t seed, time_point now);

    std::vector<membership_send> handle(time_point now, const host_id& from,
                                        const wire::membership_message& in);

    std::vector<membership_send> tick(time_point now);

    // Announces a new state or weight at once.
    std::vector<membership_send> change(time_point now, upstream_state state,
                                        std::uint32_t weight);

    // Other control hosts are there from now on.
    void set_observers(std::vector<observer_info> observers);

    // The record as it was last announced.
    const upstream_record& record() const { return m_record; }

    // Whether the home has accepted the record as it is now.
    bool accepted() const { return m_accepted; }

    // Whether a later process took this one's identity; it then announces no
    // more.
    bool superseded() const { return m_superseded; }

    // Whether the observers refuse this process's key for the service; it is
    // tried again with the longest wait.
    bool forbidden() const { return m_forbidden; }

    // The observer that is asked at present.
    const host_id& home() const;

private:
    std::vector<membership_send> announce(time_point now);
    std::vector<membership_send> renew(time_point now);
    std::vector<membership_send> answered(time_point now,
                                          const wire::announcement_answer& in);
    void fail_over(time_point now);
    void choose_next_home(time_point now);
    duration jittered(duration time);
    void order_observers();
    std::vector<membership_send> send(wire::membership_message message) const;

    announcer_settings m_settings;
    upstream_record m_record;
    seeded_random m_random;
    std::vector<host_id> m_order;
    std::size_t m_home = 0;
    // The observer that the record's sequence was last announced to.
    std::size_t m_announced_to = 0;
    bool m_announced = false;
    bool m_accepted = false;
    bool m_ever_accepted = false;
    bool m_superseded = false;
    bool m_forbidden = false;
    bool m_waiting_answer = false;
    // The home holds the lease, but the other observers do not hear it.
    bool m_is_home_isolated = false;
    int m_tries = 0;
    std::size_t m_failed_observers = 0;
    duration m_backoff;
    time_point m_next;
    time_point m_return_at;
};

} // namespace crowlink
