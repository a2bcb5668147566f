#include "crowlink/requests.hpp"

#include <gtest/gtest.h>

namespace crowlink
{
namespace
{

using std::chrono::milliseconds;

constexpr std::uint64_t seed = 5;

// A caller whose messages are answered by the test.
class request_caller_test : public ::testing::Test
{
protected:
    explicit request_caller_test(caller_settings settings = one_path())
        : m_caller(settings, seeded_random(seed))
    {
    }

    static caller_settings one_path()
    {
        caller_settings settings;
        settings.paths = 1;
        return settings;
    }

    request_id submit(bool idempotent, duration deadline)
    {
        const request_id id = m_caller.submit(
            m_now, {"kind", idempotent, deadline, "body"}, m_effects);
        grant_tickets();
        return id;
    }

    // Answers all openings that were sent and records the other messages.
    void grant_tickets()
    {
        for (const caller_datagram& datagram : take_datagrams())
        {
            const caller_message message =
                *decode_caller_message(datagram.bytes);
            if (const auto* open = std::get_if<open_session>(&message))
            {
                const ticket granted{incarnation(datagram.path + 1), 1,
                                     open->secret};
                receive(datagram.path,
                        session_opened{open->secret, granted, {}});
            }
            else if (const auto* part = std::get_if<request_part>(&message))
            {
                m_sent.push_back(*part);
            }
            else
            {
                ++m_cancels;
            }
        }
        if (!m_effects.datagrams.empty())
        {
            grant_tickets();
        }
    }

    std::vector<caller_datagram> take_datagrams()
    {
        std::vector<caller_datagram> taken;
        std::swap(taken, m_effects.datagrams);
        return taken;
    }

    void receive(path_index path, const agent_message& message)
    {
        m_caller.receive(m_now, path, encode(message), m_effects);
    }

    void refuse(const request_part& sent, verdict outcome, answer_reason reason,
                duration retry_after = {})
    {
        const auto path =
            static_cast<path_index>(sent.session_ticket.issued_by.value() - 1);
        receive(path, answer_part{sent.id, sent.attempt, outcome, reason,
                                  retry_after, 0, 1, ""});
        grant_tickets();
    }

    static answer_part ran(const request_part& sent, std::uint32_t part,
                           std::uint32_t parts, const std::string& body)
    {
        return {sent.id, sent.attempt, verdict::ran, answer_reason::answered,
                {},      part,         parts,        body};
    }

    void advance_by(duration step)
    {
        const time_point until = m_now + step;
        while (m_caller.next_wakeup() <= until)
        {
            m_now = std::max(m_now, m_caller.next_wakeup());
            m_caller.advance(m_now, m_effects);
            grant_tickets();
        }
        m_now = until;
    }

    request_answer only_answer() const
    {
        EXPECT_EQ(m_effects.outcomes.size(), 1U);
        return m_effects.outcomes.empty() ? request_answer{}
                                          : m_effects.outcomes[0].answer;
    }

    request_caller m_caller;
    caller_effects m_effects;
    std::vector<request_part> m_sent;
    int m_cancels = 0;
    time_point m_now{};
};

TEST_F(request_caller_test, reordered_and_duplicate_parts_form_one_answer)
{
    submit(true, milliseconds(100));
    const request_part& sent = m_sent.at(0);
    receive(0, ran(sent, 2, 3, "c"));
    receive(0, ran(sent, 2, 3, "c"));
    receive(0, ran(sent, 0, 3, "a"));
    EXPECT_TRUE(m_effects.outcomes.empty());
    receive(0, ran(sent, 1, 3, "b"));
    receive(0, ran(sent, 1, 3, "b"));
    EXPECT_EQ(only_answer().body, "abc");
    EXPECT_EQ(only_answer().outcome, verdict::ran);
}

TEST_F(request_caller_test, an_answer_to_another_attempt_or_caller_is_ignored)
{
    submit(true, milliseconds(100));
    const request_part& sent = m_sent.at(0);
    answer_part wrong_attempt = ran(sent, 0, 1, "x");
    wrong_attempt.attempt = 2;
    receive(0, wrong_attempt);
    answer_part wrong_caller = wrong_attempt;
    wrong_caller.attempt = 1;
    ++wrong_caller.id.caller;
    receive(0, wrong_caller);
    EXPECT_TRUE(m_effects.outcomes.empty());
    EXPECT_EQ(m_caller.ignored(), 2U);
}

TEST_F(request_caller_test, a_retry_delay_beyond_the_deadline_ends_the_request)
{
    submit(false, milliseconds(100));
    refuse(m_sent.at(0), verdict::not_run, answer_reason::overloaded,
           milliseconds(200));
    EXPECT_EQ(only_answer().outcome, verdict::not_run);
    EXPECT_EQ(only_answer().reason, answer_reason::overloaded);
    EXPECT_EQ(only_answer().retry_after, milliseconds(200));
}

TEST_F(request_caller_test, a_retry_waits_for_the_delay_of_the_refusal)
{
    submit(false, milliseconds(500));
    refuse(m_sent.at(0), verdict::not_run, answer_reason::overloaded,
           milliseconds(80));
    advance_by(milliseconds(79));
    EXPECT_EQ(m_sent.size(), 1U);
    advance_by(milliseconds(22));
    ASSERT_EQ(m_sent.size(), 2U);
    EXPECT_EQ(m_sent[1].attempt, 2U);
    EXPECT_NE(m_sent[1].sequence, m_sent[0].sequence);
    EXPECT_EQ(m_sent[1].settled_below, m_sent[1].sequence);
    EXPECT_LT(m_sent[1].remaining, milliseconds(421));
}

TEST_F(request_caller_test, a_request_that_may_have_run_is_not_retried)
{
    submit(false, milliseconds(500));
    refuse(m_sent.at(0), verdict::may_have_run, answer_reason::stale_ticket);
    EXPECT_EQ(only_answer().outcome, verdict::may_have_run);
    EXPECT_EQ(m_sent.size(), 1U);
}

TEST_F(request_caller_test, a_lost_request_is_resent_as_the_same_attempt)
{
    submit(false, milliseconds(500));
    advance_by(milliseconds(50));
    ASSERT_EQ(m_sent.size(), 2U);
    request_part again = m_sent[0];
    again.remaining = milliseconds(450);
    EXPECT_EQ(m_sent[1], again);
}

TEST_F(request_caller_test, slow_answers_extend_the_resend_timeout)
{
    submit(false, milliseconds(1000));
    m_now += milliseconds(40);
    receive(0, ran(m_sent[0], 0, 1, ""));
    submit(false, milliseconds(1000));
    // 40 ms plus four times the initial deviation of 20 ms.
    advance_by(milliseconds(119));
    EXPECT_EQ(m_sent.size(), 2U);
    advance_by(milliseconds(1));
    EXPECT_EQ(m_sent.size(), 3U);
}

TEST_F(request_caller_test, an_answer_after_a_resend_is_not_timed)
{
    submit(true, milliseconds(1000));
    advance_by(milliseconds(60));
    receive(0, ran(m_sent[0], 0, 1, ""));
    submit(true, milliseconds(1000));
    ASSERT_EQ(m_sent.size(), 3U);
    advance_by(milliseconds(50));
    EXPECT_EQ(m_sent.size(), 4U);
}

TEST_F(request_caller_test, a_late_refusal_does_not_affect_the_next_attempt)
{
    submit(false, milliseconds(500));
    refuse(m_sent.at(0), verdict::not_run, answer_reason::overloaded);
    advance_by(milliseconds(20));
    ASSERT_EQ(m_sent.size(), 2U);
    refuse(m_sent.at(0), verdict::not_run, answer_reason::wrong_kind);
    EXPECT_TRUE(m_effects.outcomes.empty());
    EXPECT_EQ(m_caller.ignored(), 1U);
}

TEST_F(request_caller_test, an_unanswered_request_expires_at_its_deadline)
{
    submit(false, milliseconds(100));
    advance_by(milliseconds(99));
    EXPECT_TRUE(m_effects.outcomes.empty());
    advance_by(milliseconds(1));
    EXPECT_EQ(only_answer().outcome, verdict::may_have_run);
    EXPECT_EQ(only_answer().reason, answer_reason::expired);
    EXPECT_EQ(m_cancels, 1);
}

TEST_F(request_caller_test, a_request_that_was_never_sent_is_not_run)
{
    m_caller.submit(m_now, {"kind", false, milliseconds(100), ""}, m_effects);
    while (m_caller.next_wakeup() != time_point::max())
    {
        m_now = m_caller.next_wakeup();
        m_caller.advance(m_now, m_effects);
    }
    EXPECT_EQ(only_answer().outcome, verdict::not_run);
    EXPECT_EQ(only_answer().reason, answer_reason::unreachable);
}

TEST_F(request_caller_test, a_cancelled_request_waits_for_confirmation)
{
    const request_id id = submit(false, milliseconds(500));
    m_caller.cancel(m_now, id, m_effects);
    grant_tickets();
    EXPECT_EQ(m_cancels, 1);
    EXPECT_TRUE(m_effects.outcomes.empty());
    refuse(m_sent.at(0), verdict::not_run, answer_reason::cancelled);
    EXPECT_EQ(only_answer().outcome, verdict::not_run);
    EXPECT_EQ(only_answer().reason, answer_reason::cancelled);
}

TEST_F(request_caller_test, an_old_ticket_is_confirmed_before_use)
{
    submit(false, milliseconds(100));
    refuse(m_sent.at(0), verdict::not_run, answer_reason::wrong_kind);
    m_now += std::chrono::seconds(10);
    m_caller.submit(m_now, {"kind", false, milliseconds(100), ""}, m_effects);
    ASSERT_EQ(m_effects.datagrams.size(), 1U);
    const auto message = decode_caller_message(m_effects.datagrams[0].bytes);
    EXPECT_TRUE(std::holds_alternative<open_session>(*message));
    grant_tickets();
    EXPECT_EQ(m_sent.size(), 2U);
}

TEST_F(request_caller_test, a_path_never_reuses_a_sequence)
{
    submit(false, milliseconds(100));
    refuse(m_sent.at(0), verdict::may_have_run, answer_reason::stale_ticket);
    const ticket first = m_sent[0].session_ticket;
    // Other agents answer, and then the first one again, with the same ticket.
    for (std::uint64_t agent = 5; agent < 8; ++agent)
    {
        m_now += std::chrono::seconds(10);
        m_caller.submit(m_now, {"kind", false, milliseconds(100), ""},
                        m_effects);
        const auto sent = decode_caller_message(take_datagrams().at(0).bytes);
        ticket granted = {incarnation(agent), 1,
                          std::get<open_session>(*sent).secret};
        granted = agent == 7 ? first : granted;
        receive(0, session_opened{
                       std::get<open_session>(*sent).secret, granted, {}});
        grant_tickets();
        refuse(m_sent.back(), verdict::not_run, answer_reason::wrong_kind);
    }
    ASSERT_EQ(m_sent.size(), 4U);
    EXPECT_EQ(m_sent.back().session_ticket, first);
    for (std::size_t index = 1; index < m_sent.size(); ++index)
    {
        EXPECT_GT(m_sent[index].sequence, m_sent[index - 1].sequence);
    }
}

TEST_F(request_caller_test, an_unresponsive_path_is_replaced_by_a_new_flow)
{
    m_caller.submit(m_now, {"kind", false, milliseconds(900), ""}, m_effects);
    while (m_effects.closed.empty() &&
           m_caller.next_wakeup() != time_point::max())
    {
        m_now = m_caller.next_wakeup();
        m_caller.advance(m_now, m_effects);
    }
    EXPECT_EQ(m_effects.closed, std::vector<path_index>{0});
    EXPECT_EQ(m_effects.datagrams.back().path, 1U);
    grant_tickets();
    EXPECT_EQ(m_sent.size(), 1U);
}

TEST_F(request_caller_test, a_path_is_confirmed_after_an_unanswered_attempt)
{
    submit(true, milliseconds(900));
    advance_by(milliseconds(50));
    EXPECT_EQ(m_sent.size(), 2U);
    m_caller.submit(m_now, {"kind", true, milliseconds(900), ""}, m_effects);
    ASSERT_EQ(m_effects.datagrams.size(), 1U);
    const auto message = decode_caller_message(m_effects.datagrams[0].bytes);
    EXPECT_TRUE(std::holds_alternative<open_session>(*message));
}

TEST_F(request_caller_test, retries_after_draining_are_exempt_from_the_budget)
{
    for (std::size_t number = 1; number < 100; ++number)
    {
        submit(false, milliseconds(500));
        refuse(m_sent.back(), verdict::not_run, answer_reason::draining);
        EXPECT_EQ(m_effects.closed.size(), number);
        advance_by(milliseconds(20));
        ASSERT_EQ(m_sent.size(), 2 * number);
        EXPECT_EQ(m_sent.back().session_ticket.issued_by,
                  incarnation(number + 1));
        receive(static_cast<path_index>(number), ran(m_sent.back(), 0, 1, ""));
    }
    EXPECT_EQ(m_effects.outcomes.size(), 99U);
}

TEST_F(request_caller_test, retries_stay_within_the_budget_if_all_fail)
{
    constexpr int fresh = 1000;
    for (int number = 0; number < fresh; ++number)
    {
        submit(true, milliseconds(1000));
        refuse(m_sent.back(), verdict::not_run, answer_reason::overloaded,
               milliseconds(1));
        advance_by(milliseconds(10));
        while (m_effects.outcomes.empty())
        {
            refuse(m_sent.back(), verdict::not_run, answer_reason::overloaded,
                   milliseconds(1));
            advance_by(milliseconds(50));
        }
        m_effects.outcomes.clear();
    }
    const caller_settings settings = one_path();
    EXPECT_LE(m_sent.size(),
              fresh * (1 + settings.retry_ratio) + settings.retry_burst);
    EXPECT_GT(m_sent.size(), fresh);
}

TEST_F(request_caller_test, a_full_session_memory_ends_the_request_at_once)
{
    m_caller.submit(m_now, {"kind", false, milliseconds(100), ""}, m_effects);
    const auto sent = decode_caller_message(take_datagrams().at(0).bytes);
    receive(0, session_opened{std::get<open_session>(*sent).secret,
                              std::nullopt, std::chrono::seconds(10)});
    EXPECT_EQ(only_answer().outcome, verdict::not_run);
    EXPECT_EQ(only_answer().retry_after, std::chrono::seconds(10));
}

} // namespace
} // namespace crowlink
