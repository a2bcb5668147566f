#include "crowlink/agent/opening_queue.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace crowlink::internal
{

hold_plan opening_queue::plan(time_point now,
                              const completion_estimate& estimate) const
{
    return plan_with(now, estimate, nullptr);
}

planned_opening opening_queue::plan_for(time_point now,
                                        const completion_estimate& estimate,
                                        const held_opening& added) const
{
    const hold_plan all = plan_with(now, estimate, &added);
    return *std::find_if(all.begin(), all.end(),
                         [&added](const planned_opening& each)
                         { return each.opening == &added; });
}

opening_queue::level_lists
opening_queue::arrange(const held_opening* added) const
{
    level_lists lists;
    for (const held_opening& each : m_openings)
    {
        lists[each.priority].push_back(&each);
    }
    if (added != nullptr)
    {
        lists[added->priority].push_back(added);
    }
    for (auto& [priority, list] : lists)
    {
        const auto known = m_fairness.find(priority);
        (known == m_fairness.end() ? host_fairness() : known->second)
            .arrange(list);
    }
    return lists;
}

hold_plan opening_queue::plan_with(time_point now,
                                   const completion_estimate& estimate,
                                   const held_opening* added) const
{
    level_lists lists = arrange(added);
    std::vector<std::uint32_t> waiting;
    for (auto& [priority, list] : lists)
    {
        // Taken from the back below.
        std::reverse(list.begin(), list.end());
        waiting.push_back(priority);
    }
    hold_plan planned;
    std::vector<const held_opening*> not_in_time;
    level_turns turns = m_turns;
    std::size_t bytes = 0;
    const auto fits = [&bytes, &planned](const held_opening& each)
    {
        return planned.size() < max_openings &&
               bytes + each.payload.size() <= max_bytes;
    };
    const auto put = [&bytes, &planned](const held_opening& each,
                                        hold_outcome outcome, duration expected)
    {
        bytes += each.payload.size();
        planned.push_back(planned_opening{&each, outcome, expected});
    };
    while (!waiting.empty())
    {
        const std::uint32_t level = turns.next(waiting);
        std::vector<const held_opening*>& list = lists[level];
        const held_opening& each = *list.back();
        list.pop_back();
        const duration expected = estimate.with_ahead(planned.size());
        const time_point limit =
            &each == added ? each.deadline.entry : each.deadline.aim;
        if (now + expected <= limit && fits(each))
        {
            turns.started(waiting, level);
            put(each, hold_outcome::in_time, expected);
        }
        else
        {
            not_in_time.push_back(&each);
        }
        if (list.empty())
        {
            std::erase(waiting, level);
        }
    }
    const bool any_in_time = !planned.empty();
    hold_plan refused;
    for (const held_opening* each : not_in_time)
    {
        const duration expected = estimate.with_ahead(planned.size());
        // One that can't start within an aim is refused now and not when the
        // aim has passed.
        const time_point start = now + estimate.until_start(planned.size());
        const bool is_in_reach = now + expected <= each->deadline.last &&
                                 start < each->since + each->aim;
        if (is_in_reach && !any_in_time && fits(*each))
        {
            put(*each, hold_outcome::late, expected);
            continue;
        }
        const hold_outcome outcome = is_in_reach && !fits(*each)
                                         ? hold_outcome::queue_full
                                         : hold_outcome::too_late;
        refused.push_back(planned_opening{each, outcome, expected});
    }
    planned.insert(planned.end(), refused.begin(), refused.end());
    return planned;
}

void opening_queue::add(held_opening opening)
{
    const flow_key flow = opening.header.flow;
    m_openings.push_back(std::move(opening));
    m_by_flow[flow] = std::prev(m_openings.end());
}

held_opening* opening_queue::find(const flow_key& flow)
{
    const auto found = m_by_flow.find(flow);
    return found == m_by_flow.end() ? nullptr : &*found->second;
}

held_opening opening_queue::start(const flow_key& flow)
{
    const std::vector<std::uint32_t> waiting = levels();
    held_opening started = *remove(flow);
    m_turns.started(waiting, started.priority);
    m_fairness[started.priority].started(started.header.return_to);
    return started;
}

std::vector<std::uint32_t> opening_queue::levels() const
{
    std::vector<std::uint32_t> found;
    for (const held_opening& each : m_openings)
    {
        found.push_back(each.priority);
    }
    std::sort(found.begin(), found.end());
    found.erase(std::unique(found.begin(), found.end()), found.end());
    return found;
}

std::optional<held_opening> opening_queue::remove(const flow_key& flow)
{
    const auto found = m_by_flow.find(flow);
    if (found == m_by_flow.end())
    {
        return std::nullopt;
    }
    held_opening removed = std::move(*found->second);
    m_openings.erase(found->second);
    m_by_flow.erase(found);
    return removed;
}

std::vector<held_opening> opening_queue::take_all()
{
    std::vector<held_opening> all(std::move_iterator(m_openings.begin()),
                                  std::move_iterator(m_openings.end()));
    m_openings.clear();
    m_by_flow.clear();
    return all;
}

} // namespace crowlink::internal
