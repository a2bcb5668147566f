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

bool has_pending(const session& of)
{
    return std::any_of(of.requests.begin(), of.requests.end(),
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
        touch(now, number);
        return ticket{m_own, number, secret};
    }
    if (!make_room(now))
    {
        return std::nullopt;
    }
    session fresh;
    fresh.number = ++m_last_number;
    fresh.secret = secret;
    fresh.used = now;
    m_sessions.get<by_use>().push_back(std::move(fresh));
    return ticket{m_own, m_last_number, secret};
}

sighting session_table::sight(time_point now, const ticket& under,
                              std::uint64_t sequence,
                              std::uint64_t settled_below)
{
    session* found = find(under.session);
    if (under.minted_by != m_own || found == nullptr ||
        found->secret != under.secret)
    {
        return {sighting_kind::stale, nullptr};
    }
    touch(now, under.session);
    settle(*found, settled_below);
    if (sequence < found->floor)
    {
        return {sighting_kind::settled, nullptr};
    }
    if (sequence - found->floor >= sequence_window)
    {
        return {sighting_kind::beyond_window, nullptr};
    }
    auto place = position_of(found->requests, sequence);
    if (place != found->requests.end() && place->sequence == sequence)
    {
        return {sighting_kind::known, &*place};
    }
    remembered_request fresh;
    fresh.sequence = sequence;
    place = found->requests.insert(place, std::move(fresh));
    return {sighting_kind::fresh, &*place};
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
    const auto place = position_of(found->requests, sequence);
    if (place == found->requests.end() || place->sequence != sequence)
    {
        return nullptr;
    }
    m_answer_bytes += answer.body.size();
    if (!answer.body.empty())
    {
        place->age = ++m_last_age;
        m_answers.emplace(place->age, answer_place{number, sequence});
    }
    place->answer = std::make_unique<const request_answer>(std::move(answer));
    shrink_answers();
    return place->answer.get();
}

session* session_table::find(std::uint64_t number)
{
    const auto& numbers = m_sessions.get<by_number>();
    const auto found = numbers.find(number);
    // The members that are changed through this are no keys of the indices.
    return found == numbers.end() ? nullptr : const_cast<session*>(&*found);
}

void session_table::touch(time_point now, std::uint64_t number)
{
    const auto found = m_sessions.get<by_number>().find(number);
    const_cast<session&>(*found).used = now;
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
    if (order.empty() || now - order.front().used < m_limits.keep ||
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

void session_table::settle(session& of, std::uint64_t below)
{
    if (below <= of.floor)
    {
        return;
    }
    of.floor = below;
    const auto end = position_of(of.requests, below);
    std::for_each(of.requests.begin(), end,
                  [this](const remembered_request& request)
                  { forget_answer(request); });
    of.requests.erase(of.requests.begin(), end);
}

void session_table::forget_answer(const remembered_request& request)
{
    if (request.answer != nullptr && m_answers.erase(request.age) > 0)
    {
        m_answer_bytes -= request.answer->body.size();
    }
}

void session_table::shrink_answers()
{
    // The newest answer is kept whatever its size: it is just being sent.
    while (m_answer_bytes > m_limits.answer_bytes && m_answers.size() > 1)
    {
        const answer_place oldest = m_answers.begin()->second;
        session* found = find(oldest.session);
        remembered_request& request =
            *position_of(found->requests, oldest.sequence);
        forget_answer(request);
        request.answer = std::make_unique<const request_answer>(request_answer{
            verdict::may_have_run, answer_reason::answer_lost, {}, {}});
    }
}

} // namespace crowlink::internal
