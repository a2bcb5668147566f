// The part of history that checks what it sees.

#include "history.hpp"

namespace crowlink::test
{

namespace
{

// Turns the letter of one run back into the filling.
std::string unmarked(std::string body)
{
    const char mark = body.at(body.find(':') + 1);
    std::replace(body.begin(), body.end(), mark, naive_service::filling);
    return body;
}

} // namespace

void history::note_send(const std::string& bytes)
{
    const auto message = decode_caller_message(bytes);
    const auto* part = std::get_if<request_part>(&*message);
    if (part != nullptr && part->part == 0)
    {
        ++m_submitted[part->id.number].sends;
    }
}

void history::note_answer(const std::string& bytes)
{
    const auto message = decode_agent_message(bytes);
    const auto* part = std::get_if<answer_part>(&*message);
    if (part != nullptr && part->reason == answer_reason::draining)
    {
        ++m_drained;
    }
}

void history::expect(bool holds, const std::string& what, std::uint64_t number)
{
    if (!holds && m_wrong.empty())
    {
        m_wrong = what + ": " + std::to_string(number);
    }
}

void history::check()
{
    int fresh = 0;
    int extra = 0;
    for (const auto& entry : m_submitted)
    {
        check_one(entry.first, entry.second);
        fresh += 1;
        extra += std::max(0, entry.second.sends - 1);
    }
    const caller_settings settings = calling();
    expect(extra <=
               settings.retry_burst + settings.retry_ratio * fresh + m_drained,
           "retries beyond the budget", static_cast<std::uint64_t>(extra));
    for (const host& each : m_hosts)
    {
        expect(each.agent.counts().running == 0, "work left", 0);
    }
}

void history::check_one(std::uint64_t number, const submitted& of)
{
    expect(of.outcomes.size() == 1, "not one outcome", number);
    if (of.outcomes.size() != 1)
    {
        return;
    }
    const request_answer& answer = of.outcomes.front().answer;
    const std::uint64_t mark = std::stoull(of.wanted.body);
    const int runs = m_record.runs(mark);
    expect(of.wanted.idempotent || runs <= 1, "ran twice", number);
    m_ran += answer.outcome == verdict::ran ? 1 : 0;
    m_not_run += answer.outcome == verdict::not_run ? 1 : 0;
    m_may_have_run += answer.outcome == verdict::may_have_run ? 1 : 0;
    if (answer.outcome == verdict::not_run)
    {
        expect(runs == 0, "not_run but ran", number);
    }
    if (answer.outcome == verdict::ran)
    {
        expect(runs >= 1, "ran but did not", number);
        expect(unmarked(answer.body) ==
                   naive_service::answer(of.wanted.kind, of.wanted.body),
               "another answer than the naive service's", number);
    }
}

} // namespace crowlink::test
