#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/replication/founding_reply.hpp"
#include "crowlink/replication/founding_settings.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace crowlink::replication
{

// Chooses the initial voters together with the seeds: a proposer of
// single-decree Paxos (Lamport, 2001) that needs all of them. `self` has a disk
// and may found the log.
class founding_proposer
{
public:
    // `life` is drawn at random by each process.
    founding_proposer(founding_settings settings, host_id self,
                      std::uint64_t life, time_point now);

    // The request that the seeds are to be sent now, if any. `candidates` are
    // the hosts with an empty disk that may found the log, self included.
    std::optional<founding_request> tick(time_point now,
                                         const std::vector<member>& candidates);

    void take(time_point now, const host_id& from, const founding_reply& reply);

    // The voters, once all seeds have accepted them.
    const std::optional<membership>& decided() const { return m_decided; }

private:
    std::size_t voters_needed(time_point now) const;
    bool may_vote(time_point now, const member& candidate) const;
    bool may_begin(time_point now, const std::vector<member>& eligible);
    void begin(time_point now, const std::vector<member>& eligible);
    bool have_all_replied() const;

    founding_settings m_settings;
    host_id m_self;
    std::uint64_t m_life;
    time_point m_started;
    // Since when there are enough candidates, or since the last attempt failed.
    std::optional<time_point> m_waiting_since;
    // The request in progress.
    std::optional<founding_request> m_request;
    time_point m_next_send{};
    std::uint64_t m_highest_round = 0;
    // The seeds that have agreed to the request, with their replies.
    std::map<host_id, founding_reply> m_replies;
    std::optional<membership> m_decided;
};

} // namespace crowlink::replication
