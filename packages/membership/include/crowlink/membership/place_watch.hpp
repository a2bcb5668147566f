#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/ids.hpp"
#include "crowlink/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <vector>

namespace crowlink
{

struct place_watch_settings
{
    // Between two probes of one data centre, while it answers.
    duration probe_every = std::chrono::milliseconds(100);
    // Probes that one host sends in a second, however many data centres there
    // are; beyond it they take turns.
    std::uint32_t probes_per_second = 20;
    // An answer needs two crossings and two turns of busy processes.
    duration answer_within = std::chrono::milliseconds(100);
    // So many probes to different hosts, all in vain after a first one, prove
    // that the data centre and not a host of it is silent.
    std::uint32_t confirmations = 5;
    // After so many more in vain, one after the other, the flows there are
    // given up: hosts that were all stopped for a moment would be back.
    std::uint32_t patience = 3;
};

// A probe to send.
struct place_probe
{
    endpoint to;
    std::uint32_t number = 0;
};

// Whether this host reaches the other data centres, by what it sees itself:
// leases and reports of others tell it seconds later. Without I/O; the shell
// sends the probes and tells of answers.
//
//   watch.set_hosts({{place_id("pasig"), {agent, another}}});
//   for (const place_probe& each : watch.tick(now)) send(each);
//   watch.answered(now, number);
class place_watch
{
public:
    using hosts_type = std::map<place_id, std::vector<endpoint>>;

    explicit place_watch(place_watch_settings settings = {})
        : m_settings(settings)
    {
    }

    // The hosts that can be asked, by data centre; this host's own one must not
    // be among them.
    void set_hosts(const hosts_type& hosts);

    // To be called a few times in the time that an answer takes, and after the
    // answers that came until now were told.
    std::vector<place_probe> tick(time_point now);

    void answered(std::uint32_t number);

    // Data centres none of whose hosts answers.
    const std::set<place_id>& unreachable() const { return m_unreachable; }
    // Those of them that have been so for some time.
    const std::set<place_id>& given_up() const { return m_given_up; }

private:
    struct sent_probe
    {
        std::uint32_t number = 0;
        time_point at{};
    };
    struct watched_place
    {
        std::vector<endpoint> hosts;
        std::size_t next_host = 0;
        std::deque<sent_probe> unanswered;
        // Probes in vain since the last answer.
        std::uint32_t missed = 0;
        bool is_confirming = false;
        time_point next_probe{};
    };

    void note_missed(time_point now, const place_id& where,
                     watched_place& place);
    void ask(time_point now, watched_place& place,
             std::vector<place_probe>& probes);
    duration interval() const;

    place_watch_settings m_settings;
    std::map<place_id, watched_place> m_places;
    std::set<place_id> m_unreachable;
    std::set<place_id> m_given_up;
    std::uint32_t m_next_number = 1;
};

} // namespace crowlink
