#include "crowlink/requests.hpp"

#include <gtest/gtest.h>

namespace crowlink
{
namespace
{

using std::chrono::milliseconds;

// An agent with one slot and one session; the test plays caller and upstream.
class request_admission_test : public ::testing::Test
{
protected:
    request_admission_test() : m_agent(settings(), incarnation(1))
    {
        m_agent.handle_datagram(m_now, {}, encode(open_session{5}), m_effects);
        const auto opened =
            decode_agent_message(m_effects.to_callers.at(0).bytes);
        m_ticket = *std::get<session_opened>(*opened).granted;
        m_effects = {};
    }

    static admission_settings settings()
    {
        admission_settings chosen;
        chosen.slots = 1;
        chosen.kinds = {{"hold", 1, false}, {"read", 1, true}};
        chosen.queue_limit = 4;
        chosen.max_wait = std::chrono::seconds(1);
        return chosen;
    }

    request_part part(std::uint64_t sequence, const std::string& kind = "hold",
                      duration remaining = std::chrono::seconds(10)) const
    {
        return {{9, sequence}, 1,         m_ticket, sequence, 0,     kind,
                false,         remaining, 0,        1,        "body"};
    }

    void send(const caller_message& message)
    {
        m_agent.handle_datagram(m_now, {}, encode(message), m_effects);
    }

    // Ends the most recently started run.
    void end_run(verdict outcome, duration after)
    {
        m_now += after;
        const run_id id = last_run().id;
        m_agent.handle_upstream(
            m_now, encode(upstream_answer{id, outcome, {}, "answer"}),
            m_effects);
    }

    upstream_run last_run() const
    {
        for (auto next = m_effects.to_upstream.rbegin();
             next != m_effects.to_upstream.rend(); ++next)
        {
            const auto command = decode_upstream_command(*next);
            if (const auto* run = std::get_if<upstream_run>(&*command))
            {
                return *run;
            }
        }
        return {};
    }

    answer_part last_answer() const
    {
        if (m_effects.to_callers.empty())
        {
            ADD_FAILURE() << "no answer was sent to a caller";
            return {};
        }
        const auto message =
            decode_agent_message(m_effects.to_callers.back().bytes);
        return std::get<answer_part>(*message);
    }

    request_admission m_agent;
    admission_effects m_effects;
    ticket m_ticket;
    time_point m_now{};
};

TEST_F(request_admission_test, a_resend_gets_the_stored_answer_without_a_run)
{
    send(part(1));
    send(part(1));
    end_run(verdict::ran, milliseconds(10));
    EXPECT_EQ(last_answer().body, "answer");
    m_effects.to_callers.clear();
    send(part(1));
    EXPECT_EQ(last_answer().body, "answer");
    EXPECT_EQ(m_effects.to_upstream.size(), 1U);
}

TEST_F(request_admission_test, a_reused_sequence_does_not_get_the_stored_answer)
{
    send(part(1));
    end_run(verdict::ran, milliseconds(10));
    m_effects.to_callers.clear();
    request_part other = part(1);
    ++other.id.number;
    send(other);
    send(request_cancel{other.id, 1, m_ticket, 1});
    EXPECT_TRUE(m_effects.to_callers.empty());
    EXPECT_EQ(m_agent.counts().invalid, 2U);
}

TEST_F(request_admission_test, refused_or_cancelled_requests_do_not_run_later)
{
    send(part(1, "hold", duration{}));
    EXPECT_EQ(last_answer().reason, answer_reason::expired);
    send(part(1));
    EXPECT_EQ(last_answer().outcome, verdict::not_run);
    send(request_cancel{{9, 2}, 1, m_ticket, 2});
    EXPECT_EQ(last_answer().outcome, verdict::not_run);
    send(part(2));
    EXPECT_EQ(last_answer().reason, answer_reason::cancelled);
    EXPECT_TRUE(m_effects.to_upstream.empty());
}

TEST_F(request_admission_test, a_ticket_of_another_incarnation_is_stale)
{
    request_part other = part(1);
    other.session_ticket.issued_by = incarnation(2);
    send(other);
    EXPECT_EQ(last_answer().outcome, verdict::may_have_run);
    EXPECT_EQ(last_answer().reason, answer_reason::stale_ticket);
    EXPECT_TRUE(m_effects.to_upstream.empty());
}

TEST_F(request_admission_test, a_wrong_idempotent_flag_or_kind_is_refused)
{
    request_part claimed = part(1);
    claimed.idempotent = true;
    send(claimed);
    EXPECT_EQ(last_answer().reason, answer_reason::wrong_kind);
    send(part(2, "unknown"));
    EXPECT_EQ(last_answer().reason, answer_reason::wrong_kind);
}

TEST_F(request_admission_test, a_full_queue_refuses_with_the_observed_delay)
{
    send(part(1));
    end_run(verdict::ran, milliseconds(100));
    for (std::uint64_t sequence = 2; sequence <= 6; ++sequence)
    {
        send(part(sequence));
    }
    m_effects.to_callers.clear();
    send(part(7));
    EXPECT_EQ(last_answer().reason, answer_reason::overloaded);
    EXPECT_EQ(last_answer().outcome, verdict::not_run);
    // Four requests of 100 ms are queued.
    EXPECT_EQ(last_answer().retry_after, milliseconds(400));
}

TEST_F(request_admission_test, an_expected_wait_beyond_the_deadline_is_refused)
{
    send(part(1));
    end_run(verdict::ran, milliseconds(100));
    send(part(2));
    send(part(3, "hold", milliseconds(150)));
    EXPECT_EQ(last_answer().reason, answer_reason::overloaded);
    EXPECT_EQ(m_agent.counts().queued, 0U);
}

TEST_F(request_admission_test, a_request_that_expired_in_the_queue_is_not_run)
{
    send(part(1));
    send(part(2, "hold", milliseconds(50)));
    // The slot becomes free before the timer of the deadline is handled.
    end_run(verdict::ran, milliseconds(50));
    EXPECT_EQ(last_answer().reason, answer_reason::expired);
    EXPECT_EQ(last_answer().outcome, verdict::not_run);
    EXPECT_EQ(m_effects.to_upstream.size(), 1U);
}

TEST_F(request_admission_test, cancel_drops_queued_and_stops_running_requests)
{
    send(part(1));
    send(part(2));
    send(request_cancel{{9, 2}, 1, m_ticket, 2});
    EXPECT_EQ(last_answer().outcome, verdict::not_run);
    EXPECT_EQ(m_agent.counts().queued, 0U);
    send(request_cancel{{9, 1}, 1, m_ticket, 1});
    const auto command = decode_upstream_command(m_effects.to_upstream.back());
    EXPECT_TRUE(std::holds_alternative<upstream_cancel>(*command));
    end_run(verdict::may_have_run, milliseconds(1));
    EXPECT_EQ(last_answer().reason, answer_reason::cancelled);
    EXPECT_EQ(last_answer().outcome, verdict::may_have_run);
}

TEST_F(request_admission_test, a_lost_upstream_ends_all_requests_at_once)
{
    send(part(1));
    send(part(2));
    m_effects.to_callers.clear();
    m_agent.upstream_lost(m_effects);
    ASSERT_EQ(m_effects.to_callers.size(), 2U);
    EXPECT_EQ(last_answer().outcome, verdict::not_run);
    m_effects.to_callers.pop_back();
    EXPECT_EQ(last_answer().outcome, verdict::may_have_run);
    EXPECT_EQ(m_agent.counts().running_weight, 0U);
    send(part(3));
    EXPECT_EQ(last_answer().reason, answer_reason::upstream_lost);
    m_agent.upstream_ready(m_now, m_effects);
    send(part(4));
    EXPECT_EQ(m_agent.counts().running, 1U);
}

TEST_F(request_admission_test, an_answer_to_an_earlier_incarnation_is_ignored)
{
    send(part(1));
    const upstream_answer old{
        {incarnation(0), last_run().id.number}, verdict::ran, {}, "old"};
    m_agent.handle_upstream(m_now, encode(old), m_effects);
    EXPECT_EQ(m_agent.counts().running, 1U);
    EXPECT_TRUE(m_effects.to_callers.empty());
}

TEST_F(request_admission_test,
       a_draining_agent_finishes_its_work_and_refuses_new_work)
{
    send(part(1));
    send(part(2));
    m_agent.drain();
    send(part(3));
    EXPECT_EQ(last_answer().reason, answer_reason::draining);
    EXPECT_EQ(last_answer().outcome, verdict::not_run);
    end_run(verdict::ran, milliseconds(1));
    EXPECT_EQ(last_answer().outcome, verdict::ran);
    end_run(verdict::ran, milliseconds(1));
    EXPECT_EQ(m_agent.counts().running + m_agent.counts().queued, 0U);
    EXPECT_EQ(m_effects.to_upstream.size(), 2U);
}

TEST_F(request_admission_test, incomplete_requests_are_bounded)
{
    admission_settings small = settings();
    small.body_bytes_limit = 1200;
    m_agent.apply(m_now, small, m_effects);
    for (std::uint64_t sequence = 1; sequence <= 2; ++sequence)
    {
        request_part first_of_two = part(sequence);
        first_of_two.parts = 2;
        send(first_of_two);
    }
    EXPECT_TRUE(m_effects.to_callers.empty());
    send(part(3));
    EXPECT_EQ(last_answer().reason, answer_reason::overloaded);
    EXPECT_EQ(last_answer().outcome, verdict::not_run);
}

TEST_F(request_admission_test, an_unanswered_run_is_stopped_then_abandoned)
{
    send(part(1, "hold", milliseconds(100)));
    m_now += milliseconds(100);
    m_agent.advance(m_now, m_effects);
    EXPECT_EQ(m_effects.to_upstream.size(), 2U);
    EXPECT_EQ(m_agent.counts().running, 1U);
    m_now = m_agent.next_wakeup();
    m_agent.advance(m_now, m_effects);
    EXPECT_EQ(m_agent.counts().running, 0U);
    EXPECT_EQ(last_answer().outcome, verdict::may_have_run);
    EXPECT_EQ(m_effects.work_started, m_effects.work_ended);
}

TEST_F(request_admission_test, a_surge_of_one_kind_does_not_starve_another)
{
    for (std::uint64_t sequence = 1; sequence <= 5; ++sequence)
    {
        send(part(sequence, "read"));
    }
    send(part(6, "hold"));
    // The newest request of the surge is shed, and the other kind runs next.
    EXPECT_EQ(last_answer().id.number, 5U);
    end_run(verdict::ran, milliseconds(1));
    EXPECT_EQ(last_run().kind, "hold");
}

TEST_F(request_admission_test, queued_requests_of_a_removed_kind_are_refused)
{
    send(part(1, "hold"));
    send(part(2, "hold"));
    send(part(3, "read"));
    admission_settings changed = settings();
    changed.kinds = {{"read", 5, true}};
    m_agent.apply(m_now, changed, m_effects);
    EXPECT_EQ(last_answer().id.number, 2U);
    EXPECT_EQ(last_answer().reason, answer_reason::wrong_kind);
    end_run(verdict::ran, milliseconds(1));
    EXPECT_EQ(last_run().kind, "read");
}

} // namespace
} // namespace crowlink
