#include "agent/agent_report.hpp"

#include <gtest/gtest.h>

namespace crowlink::internal
{

namespace
{

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
