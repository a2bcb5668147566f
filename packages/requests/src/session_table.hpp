#pragma once

#include "crowlink/requests/at_most_once.hpp"

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>
#include <cstddef>
#include <map>
#include <vector>

namespace crowlink::internal
{

// A session. Its requests are few and sorted by sequence.
struct session
{
    std::uint64_t number = 0;
    std::uint64_t secret = 0;
    time_point last_used{};
    // Sequences below this one are settled.
    std::uint64_t settled_below = 1;
    std::vector<remembered_request> requests;
};

// The sessions of an agent incarnation, indexed by number, by secret and by
// time of last use.
class session_table
{
public:
    session_table(incarnation own, const memory_limits& limits)
        : m_own(own), m_limits(limits)
    {
    }

    std::optional<ticket> open(time_point now, std::uint64_t secret);
    sequence_lookup look_up(time_point now, const ticket& session_ticket,
                            std::uint64_t sequence,
                            std::uint64_t settled_below);
    const request_answer* finish(std::uint64_t number, std::uint64_t sequence,
                                 request_answer answer);

    std::size_t size() const { return m_sessions.size(); }
    std::size_t answer_bytes() const { return m_answer_bytes; }

private:
    struct by_number;
    struct by_secret;
    struct by_use;
    using number_member =
        boost::multi_index::member<session, std::uint64_t, &session::number>;
    using secret_member =
        boost::multi_index::member<session, std::uint64_t, &session::secret>;
    using sessions_type = boost::multi_index_container<
        session,
        boost::multi_index::indexed_by<
            boost::multi_index::hashed_unique<
                boost::multi_index::tag<by_number>, number_member>,
            boost::multi_index::hashed_unique<
                boost::multi_index::tag<by_secret>, secret_member>,
            boost::multi_index::sequenced<boost::multi_index::tag<by_use>>>>;

    // Location of a stored answer that has a body.
    struct answer_location
    {
        std::uint64_t session = 0;
        std::uint64_t sequence = 0;
    };

    session* find(std::uint64_t number);
    void mark_used(time_point now, std::uint64_t number);
    bool make_room(time_point now);
    void settle(session& target, std::uint64_t below);
    void forget_answer(const remembered_request& request);
    void evict_answers();

    incarnation m_own;
    memory_limits m_limits;
    sessions_type m_sessions;
    std::uint64_t m_last_number = 0;
    // Stored answers that have a body, oldest first.
    std::map<std::uint64_t, answer_location> m_answers;
    std::uint64_t m_last_answer_number = 0;
    std::size_t m_answer_bytes = 0;
};

} // namespace crowlink::internal
