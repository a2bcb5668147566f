#include "crowlink/replication/founding_proposer.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace crowlink::replication
{

namespace
{

bool is_seed(const founding_settings& settings, const host_id& host)
{
    return std::find(settings.seeds.begin(), settings.seeds.end(), host) !=
           settings.seeds.end();
}

// Seeds come first, the rest by name. An even number of voters bears no more
// losses than one voter fewer.
membership choose_voters(std::vector<member> eligible,
                         const founding_settings& settings)
{
    const auto rank = [&settings](const member& one)
    {
        return std::pair(!is_seed(settings, one.host), one.host);
    };
    std::sort(eligible.begin(), eligible.end(),
              [&rank](const member& one, const member& other)
              { return rank(one) < rank(other); });
    std::size_t count = std::min(eligible.size(), settings.wanted_voters);
    count -= count % 2 == 0 ? 1 : 0;
    eligible.resize(count);
    return membership(std::move(eligible));
}

} // namespace

founding_proposer::founding_proposer(founding_settings settings, host_id self,
                                     std::uint64_t life, time_point now)
    : m_settings(std::move(settings))
    , m_self(std::move(self))
    , m_life(life)
    , m_started(now)
{
}

std::size_t founding_proposer::voters_needed(time_point now) const
{
    const duration waited = now - m_started;
    if (waited < m_settings.wanted_patience)
    {
        return m_settings.wanted_voters;
    }
    return waited < m_settings.least_patience ? m_settings.least_voters : 1;
}

bool founding_proposer::may_vote(time_point now, const member& candidate) const
{
    return now - m_started >= m_settings.seeds_patience ||
           is_seed(m_settings, candidate.host);
}

// Several hosts that propose at once would refuse each other's ballots. The
// first by name begins at once, the others only if it does not get there.
bool founding_proposer::may_begin(time_point now,
                                  const std::vector<member>& eligible)
{
    const bool is_eligible =
        std::any_of(eligible.begin(), eligible.end(),
                    [this](const member& one) { return one.host == m_self; });
    if (!is_eligible || eligible.size() < voters_needed(now))
    {
        m_waiting_since.reset();
        return false;
    }
    m_waiting_since = m_waiting_since.value_or(now);
    const auto rank =
        std::count_if(eligible.begin(), eligible.end(),
                      [this](const member& one) { return one.host < m_self; });
    return now - *m_waiting_since >= m_settings.turn * rank;
}

void founding_proposer::begin(time_point now,
                              const std::vector<member>& eligible)
{
    m_request =
        founding_request{founding_phase::prepare,
                         founding_ballot{++m_highest_round, m_self, m_life},
                         choose_voters(eligible, m_settings)};
    m_replies.clear();
    m_waiting_since = now;
    m_next_send = now;
}

std::optional<founding_request>
founding_proposer::tick(time_point now, const std::vector<member>& candidates)
{
    if (m_decided)
    {
        return std::nullopt;
    }
    std::vector<member> eligible;
    std::copy_if(candidates.begin(), candidates.end(),
                 std::back_inserter(eligible),
                 [this, now](const member& one) { return may_vote(now, one); });
    if (!m_request && may_begin(now, eligible))
    {
        begin(now, eligible);
    }
    if (!m_request || now < m_next_send)
    {
        return std::nullopt;
    }
    m_next_send = now + m_settings.resend_interval;
    return m_request;
}

bool founding_proposer::have_all_replied() const
{
    return std::all_of(m_settings.seeds.begin(), m_settings.seeds.end(),
                       [this](const host_id& seed)
                       { return m_replies.count(seed) != 0; });
}

void founding_proposer::take(time_point now, const host_id& from,
                             const founding_reply& reply)
{
    m_highest_round = std::max(m_highest_round, reply.promised.round);
    const bool is_current = m_request && reply.phase == m_request->phase &&
                            reply.ballot == m_request->ballot;
    if (!is_current)
    {
        return;
    }
    if (reply.promised > m_request->ballot)
    {
        // Another host proposes. It gets a turn before this one tries again.
        m_request.reset();
        m_waiting_since = now + m_settings.turn;
        return;
    }
    m_replies[from] = reply;
    if (!have_all_replied())
    {
        return;
    }
    if (m_request->phase == founding_phase::accept)
    {
        m_decided = m_request->voters;
        return;
    }
    const auto newest =
        std::max_element(m_replies.begin(), m_replies.end(),
                         [](const auto& one, const auto& other) {
                             return one.second.accepted < other.second.accepted;
                         });
    if (newest->second.accepted != founding_ballot())
    {
        m_request->voters = newest->second.voters;
    }
    m_request->phase = founding_phase::accept;
    m_replies.clear();
    m_next_send = now;
}

} // namespace crowlink::replication
