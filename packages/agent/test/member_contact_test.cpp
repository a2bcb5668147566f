#include "crowlink/agent/member_contact.hpp"

#include "agent_fixture.hpp"

#include <gtest/gtest.h>

namespace crowlink::test
{

namespace
{

using namespace std::chrono_literals;
using internal::member_contact;

class asked_member : public testing::Test
{
protected:
    // Wants the member for the given time, in steps, and asks it.
    std::size_t ask_for(duration time)
    {
        std::size_t questions = 0;
        for (duration passed{}; passed < time; passed += 50ms)
        {
            m_contact.want(m_now, m_member, m_flow);
            questions += m_contact.ask(m_now, 64).size();
            m_now += 50ms;
        }
        return questions;
    }

    bool is_unanswered() const
    {
        return m_contact.is_unanswered(m_now, m_member.tag, 1s);
    }

    time_point m_now{1h};
    candidate m_member = agent_fixture::identity(1);
    flow_key m_flow = agent_fixture::flow(1);
    member_contact m_contact;
};

} // namespace

TEST_F(asked_member, is_asked_ten_times_a_second_at_most)
{
    EXPECT_LE(ask_for(10s), 100U);
}

TEST_F(asked_member, is_unanswered_only_after_the_patience)
{
    ask_for(950ms);
    EXPECT_FALSE(is_unanswered());
    ask_for(50ms);
    EXPECT_TRUE(is_unanswered());
}

TEST_F(asked_member, that_answers_is_not_unanswered)
{
    ask_for(5s);
    EXPECT_TRUE(m_contact.note_answer(m_now, m_member.tag));
    EXPECT_FALSE(m_contact.note_answer(m_now, m_member.tag));
    EXPECT_FALSE(is_unanswered());
    EXPECT_TRUE(m_contact.answers(m_now, m_member.tag));
    ask_for(5s);
    EXPECT_FALSE(m_contact.answers(m_now, m_member.tag));
}

// A lost question shows nothing.
TEST_F(asked_member, that_was_asked_once_is_not_unanswered)
{
    ask_for(50ms);
    m_now += 1500ms;
    EXPECT_FALSE(is_unanswered());
}

// It was down, and may be back.
TEST_F(asked_member, questions_of_long_ago_show_nothing)
{
    ask_for(5s);
    ASSERT_TRUE(is_unanswered());
    m_now += 3s;
    EXPECT_FALSE(is_unanswered());
    ask_for(50ms);
    EXPECT_FALSE(is_unanswered());
}

TEST_F(asked_member, that_is_no_longer_silent_is_forgotten)
{
    ask_for(5s);
    m_contact.retain({agent_fixture::identity(2)});
    EXPECT_FALSE(is_unanswered());
    EXPECT_TRUE(m_contact.ask(m_now, 64).empty());
}

TEST_F(asked_member, questions_are_bounded)
{
    for (std::uint16_t flow = 0; flow < 1000; ++flow)
    {
        m_contact.want(m_now, m_member, agent_fixture::flow(flow));
        m_contact.want(m_now, agent_fixture::identity(2), m_flow);
    }
    const auto asked = m_contact.ask(m_now, 1);
    ASSERT_EQ(asked.size(), 1U);
    EXPECT_LE(asked.front().flows.size(), owner_question::max_flows);
}

} // namespace crowlink::test
