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
    // The interval between two probes of one data centre while it answers.
    duration probe_interval = std::chrono::milliseconds(100);
    // The most probes that one host sends per second, however many data centres
    // there are. Beyond it the data centres are probed in turn.
    std::uint32_t probes_per_second = 20;
    // A round trip plus two scheduling delays in busy processes.
    duration answer_timeout = std::chrono::milliseconds(100);
    // This many unanswered probes to different hosts after a first one show
    // that the data centre, and not a single host in it, is unreachable.
    std::uint32_t confirmations = 5;
    // After this many further unanswered probes in a row the flows to the data
    // centre are given up. Hosts that were all stopped only briefly answer
    // again by then.
    std::uint32_t give_up_probes = 3;
    // The latest answers must have come from this many different hosts: fewer
    // may be late all at once, each for a reason of its own.
    std::size_t give_up_hosts = 3;
    // Where fewer answered, the silence must have lasted this long: longer than
    // an agent on a busy host gets no processor.
    duration few_hosts_silence = std::chrono::milliseconds(1500);
};

struct place_probe
{
    endpoint to;
    std::uint32_t number = 0;
};

// Detects whether this host reaches the other data centres from its own probes,
// since leases and reports of other hosts show it only seconds later. It does
// no I/O: the caller sends the probes and reports the answers.
//
//   watch.set_hosts({{place_id("pasig"), {agent, another}}});
//   for (const place_probe& each : watch.tick(now)) send(each);
//   watch.answered(number);
class place_watch
{
public:
    using hosts_type = std::map<place_id, std::vector<endpoint>>;

    explicit place_watch(place_watch_settings settings = {})
        : m_settings(settings)
    {
    }

    // The hosts that can be probed, by data centre. The own data centre must
    // not be among them.
    void set_hosts(const hosts_type& hosts);

    // Returns the probes to send. Must be called several times per answer
    // timeout, after the answers received so far were reported.
    std::vector<place_probe> tick(time_point now);

    void answered(std::uint32_t number);

    // The data centres of which no host answers.
    const std::set<place_id>& unreachable() const { return m_unreachable; }
    // The unreachable data centres whose flows are given up.
    const std::set<place_id>& given_up() const { return m_given_up; }

private:
    struct sent_probe
    {
        std::uint32_t number = 0;
        time_point at{};
        endpoint to;
    };
    struct watched_place
    {
        std::vector<endpoint> hosts;
        std::size_t next_host = 0;
        std::deque<sent_probe> unanswered;
        // Unanswered probes since the last answer.
        std::uint32_t missed = 0;
        // When the first of them was sent.
        time_point missed_since{};
        // The hosts of the latest answers; a host may be among them repeatedly.
        std::deque<endpoint> answering;
        bool is_confirming = false;
        time_point next_probe{};
    };

    void note_missed(time_point now, const place_id& where,
                     watched_place& place);
    bool is_given_up(time_point now, const watched_place& place) const;
    void send_probe(time_point now, watched_place& place,
                    std::vector<place_probe>& probes);
    duration interval() const;

    place_watch_settings m_settings;
    std::map<place_id, watched_place> m_places;
    std::set<place_id> m_unreachable;
    std::set<place_id> m_given_up;
    std::uint32_t m_next_number = 1;
};

} // namespace crowlink
