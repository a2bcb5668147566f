// The part of request_simulation that checks the results.

#include "request_simulation.hpp"

namespace crowlink::test
{

namespace
{

// Replaces the mark of a run by the filler.
std::string unmarked(std::string body)
{
    const char mark = body.at(body.find(':') + 1);
    std::replace(body.begin(), body.end(), mark, reference_service::filler);
    return body;
}

} // namespace

void request_simulation::record_send(const std::string& bytes)
{
    const auto message = decode_caller_message(bytes);
    const auto* part = std::get_if<request_part>(&*message);
    if (part != nullptr && part->part == 0)
    {
        ++m_submitted[part->id.number].sends;
    }
}

void request_simulation::record_answer(const std::string& bytes)
{
    const auto message = decode_agent_message(bytes);
    const auto* part = std::get_if<answer_part>(&*message);
    if (part != nullptr && part->reason == answer_reason::draining)
    {
        ++m_drain_refusals;
    }
}

void request_simulation::expect(bool holds, const std::string& failure,
                                std::uint64_t number)
{
    if (!holds && m_failure.empty())
    {
        m_failure = failure + ": " + std::to_string(number);
    }
}

void request_simulation::check()
{
    int requests = 0;
    int retries = 0;
    for (const auto& entry : m_submitted)
    {
        check_request(entry.first, entry.second);
        requests += 1;
        retries += std::max(0, entry.second.sends - 1);
    }
    const caller_settings settings = caller_config();
    expect(retries <= settings.retry_burst + settings.retry_ratio * requests +
                          m_drain_refusals,
           "retries exceed the budget", static_cast<std::uint64_t>(retries));
    for (const host& each : m_hosts)
    {
        expect(each.agent.counts().running == 0, "work still running", 0);
    }
}

void request_simulation::check_request(std::uint64_t number,
                                       const submitted& target)
{
    expect(target.outcomes.size() == 1, "not exactly one outcome", number);
    if (target.outcomes.size() != 1)
    {
        return;
    }
    const request_answer& answer = target.outcomes.front().answer;
    const std::uint64_t mark = std::stoull(target.outgoing.body);
    const int runs = m_record.runs(mark);
    expect(target.outgoing.idempotent || runs <= 1,
           "a non-idempotent request ran twice", number);
    m_ran += answer.outcome == verdict::ran ? 1 : 0;
    m_not_run += answer.outcome == verdict::not_run ? 1 : 0;
    m_may_have_run += answer.outcome == verdict::may_have_run ? 1 : 0;
    if (answer.outcome == verdict::not_run)
    {
        expect(runs == 0, "outcome not_run, but the request ran", number);
    }
    if (answer.outcome == verdict::ran)
    {
        expect(runs >= 1, "outcome ran, but the request did not run", number);
        expect(unmarked(answer.body) ==
                   reference_service::answer(target.outgoing.kind,
                                             target.outgoing.body),
               "answer differs from that of the naive reference service",
               number);
    }
}

} // namespace crowlink::test
