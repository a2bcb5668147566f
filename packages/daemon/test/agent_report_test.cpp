#include "agent/agent_report.hpp"

#include <gtest/gtest.h>

namespace crowlink::internal
{

namespace
{

using namespace std::chrono_literals;

std::string text_of(const flow_decision& decision)
{
    upstream_record self;
    self.id = upstream_id("own");
    return to_log_line(self, decision).render(log_format::key_value);
}

bool holds(const std::string& text, std::string_view wanted)
{
    return text.find(wanted) != std::string::npos;
}

} // namespace

// Without it, the log does not tell why a flow was reset whose owner served it.
TEST(agent_report, reset_names_the_belief_about_the_owner)
{
    flow_decision reset;
    reset.action = flow_action::reset;
    reset.reason = "upstream_silent";
    reset.belief = owner_belief{candidate{*endpoint::parse("10.1.0.8:4000"), 7},
                                42,
                                1203ms,
                                1001ms,
                                2,
                                reset_evidence::retransmission};
    const std::string text = text_of(reset);
    EXPECT_TRUE(holds(text, "owner=10.1.0.8:4000")) << text;
    EXPECT_TRUE(holds(text, "owner_sequence=42")) << text;
    EXPECT_TRUE(holds(text, "believed_ms=1203")) << text;
    EXPECT_TRUE(holds(text, "unanswered_ms=1001")) << text;
    EXPECT_TRUE(holds(text, "silent_members=2")) << text;
    EXPECT_TRUE(holds(text, "evidence=retransmission")) << text;
}

TEST(agent_report, other_decisions_name_no_owner)
{
    EXPECT_FALSE(holds(text_of(flow_decision{}), "owner"));
}

// The lines of openings that were refused in time had no event and no field.
TEST(agent_report, refusal_names_its_flow_and_its_limit)
{
    flow_decision refusal;
    refusal.action = flow_action::refused;
    refusal.reason = "too_late";
    refusal.expected_ms = 420;
    refusal.limit_ms = 280;
    const std::string text = text_of(refusal);
    EXPECT_TRUE(holds(text, "event=placement upstream=own")) << text;
    EXPECT_TRUE(holds(text, "expected_ms=420 limit_ms=280")) << text;
}

} // namespace crowlink::internal
