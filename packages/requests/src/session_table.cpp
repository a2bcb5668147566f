#include "session_table.hpp"

#include <algorithm>

namespace crowlink::internal
{

namespace
{

std::vector<remembered_request>::iterator
position_of(std::vector<remembered_request>& requests, std::uint64_t sequence)
{
    return std::lower_bound(
        requests.begin(), requests.end(), sequence,
        [](const remembered_request& request, std::uint64_t wanted)
        { return request.sequence < wanted; });
}

bool has_pending(const session& target)
{
    return std::any_of(target.requests.begin(), target.requests.end(),
                       [](const remembered_request& request)
                       { return request.answer == nullptr; });
}

} // namespace

std::optional<ticket> session_table::open(time_point now, std::uint64_t secret)
{
    const auto& secrets = m_sessions.get<by_secret>();
    const auto known = secrets.find(secret);
    if (known != secrets.end())
    {
        const std::uint64_t number = known->number;
        mark_used(now, number);
        return ticket{m_own, number, secret};
    }
    if (!make_room(now))
    {
        return std::nullopt;
    }
    session fresh;
    fresh.number = ++m_last_number;
    fresh.secret = secret;
    fresh.last_used = now;
    m_sessions.get<by_use>().push_back(std::move(fresh));
    return ticket{m_own, m_last_number, secret};
}

sequence_lookup session_table::look_up(time_point now,
                                       const ticket& session_ticket,
                                       std::uint64_t sequence,
                                       std::uint64_t settled_below)
{
    session* found = find(session_ticket.session);
    if (session_ticket.issued_by != m_own || found == nullptr ||
        found->secret != session_ticket.secret)
    {
        return {sequence_status::stale, nullptr};
    }
    mark_used(now, session_ticket.session);
    settle(*found, settled_below);
    if (sequence < found->settled_below)
    {
        return {sequence_status::settled, nullptr};
    }
    if (sequence - found->settled_below >= sequence_window)
    {
        return {sequence_status::beyond_window, nullptr};
    }
    auto position = position_of(found->requests, sequence);
    if (position != found->requests.end() && position->sequence == sequence)
    {
        return {sequence_status::known, &*position};
    }
    remembered_request fresh;
    fresh.sequence = sequence;
    position = found->requests.insert(position, std::move(fresh));
    return {sequence_status::fresh, &*position};
}

const request_answer* session_table::finish(std::uint64_t number,
                                            std::uint64_t sequence,
                                            request_answer answer)
{
    session* found = find(number);
    if (found == nullptr)
    {
        return nullptr;
    }
    const auto position = position_of(found->requests, sequence);
    if (position == found->requests.end() || position->sequence != sequence)
    {
        return nullptr;
    }
    m_answer_bytes += answer.body.size();
    if (!answer.body.empty())
    {
        position->answer_number = ++m_last_answer_number;
        m_answers.emplace(position->answer_number,
                          answer_location{number, sequence});
    }
    position->answer =
        std::make_unique<const request_answer>(std::move(answer));
    evict_answers();
    return position->answer.get();
}

session* session_table::find(std::uint64_t number)
{
    const auto& numbers = m_sessions.get<by_number>();
    const auto found = numbers.find(number);
    // Callers change only members that are not keys of the indices.
    return found == numbers.end() ? nullptr : const_cast<session*>(&*found);
}

void session_table::mark_used(time_point now, std::uint64_t number)
{
    const auto found = m_sessions.get<by_number>().find(number);
    const_cast<session&>(*found).last_used = now;
    auto& order = m_sessions.get<by_use>();
    order.relocate(order.end(), m_sessions.project<by_use>(found));
}

bool session_table::make_room(time_point now)
{
    if (m_sessions.size() < m_limits.sessions)
    {
        return true;
    }
    auto& order = m_sessions.get<by_use>();
    if (order.empty() ||
        now - order.front().last_used < m_limits.session_idle_timeout ||
        has_pending(order.front()))
    {
        return false;
    }
    for (const remembered_request& request : order.front().requests)
    {
        forget_answer(request);
    }
    order.pop_front();
    return true;
}

void session_table::settle(session& target, std::uint64_t below)
{
    if (below <= target.settled_below)
    {
        return;
    }
    target.settled_below = below;
    const auto end = position_of(target.requests, below);
    std::for_each(target.requests.begin(), end,
                  [this](const remembered_request& request)
                  { forget_answer(request); });
    target.requests.erase(target.requests.begin(), end);
}

void session_table::forget_answer(const remembered_request& request)
{
    if (request.answer != nullptr && m_answers.erase(request.answer_number) > 0)
    {
        m_answer_bytes -= request.answer->body.size();
    }
}

void session_table::evict_answers()
{
    // The newest answer is kept regardless of its size, because it is about to
    // be sent.
    while (m_answer_bytes > m_limits.answer_bytes && m_answers.size() > 1)
    {
        const answer_location oldest = m_answers.begin()->second;
        session* found = find(oldest.session);
        remembered_request& request =
            *position_of(found->requests, oldest.sequence);
        forget_answer(request);
        request.answer = std::make_unique<const request_answer>(request_answer{
            verdict::may_have_run, answer_reason::answer_lost, {}, {}});
    }
}

} // namespace crowlink::internal
