#include "crowlink/timeline.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <random>

namespace crowlink
{

namespace
{

using namespace std::chrono_literals;

TEST(log_record, reads_seconds_and_pairs)
{
    const auto read = read_log_record(
        "  37.5000 edge-1/control level=info event=control_role role=leader "
        "reason=\"won an \\\"election\\\" x=1\" term=2");
    ASSERT_TRUE(read);
    EXPECT_EQ(read->at, 37500ms);
    EXPECT_EQ(read->source, "edge-1/control");
    EXPECT_EQ(read->event, "control_role");
    EXPECT_EQ(read->field("reason"), "won an \"election\" x=1");
    EXPECT_EQ(read->field("term"), "2");
    EXPECT_EQ(read->field("x"), "");
}

TEST(log_record, reads_dates_and_objects)
{
    const auto read = read_log_record(
        R"(1970-01-02T00:00:01.25Z a {"event":"started","control":"true","agents":1})");
    ASSERT_TRUE(read);
    EXPECT_EQ(read->at, 24h + 1250ms);
    EXPECT_EQ(read->event, "started");
    EXPECT_EQ(read->field("control"), "true");
    EXPECT_EQ(read->field("agents"), "1");
}

TEST(log_record, names_what_is_missing)
{
    for (const char* line : {"", "x", "now a event=b", "1e99 a event=b",
                             "1970-13-02T00:00:01Z a event=b"})
    {
        const auto read = read_log_record(line);
        ASSERT_FALSE(read) << line;
        EXPECT_EQ(read.error().place, "time") << line;
    }
    for (const char* line :
         {"1.0", "1.0 a", "1.0 a level=info", "1.0 a {\"b\""})
    {
        const auto read = read_log_record(line);
        ASSERT_FALSE(read) << line;
        EXPECT_EQ(read.error().place, "event") << line;
    }
}

TEST(log_record, takes_any_bytes)
{
    const std::string whole =
        "37.5000 edge-1 event=control_role role=leader reason=\"won \\\" it\"";
    std::mt19937_64 random(7);
    for (int round = 0; round < 20000; ++round)
    {
        std::string text = whole;
        for (std::size_t left = random() % 5; left > 0; --left)
        {
            text[random() % text.size()] = static_cast<char>(random());
        }
        text.resize(random() % (text.size() + 1));
        (void)read_log_record(text);
    }
}

void take_all(life_collector& lives, std::initializer_list<const char*> lines)
{
    for (const char* line : lines)
    {
        lives.take(line);
    }
}

// Three processes that lose power at 10 s.
void play_power_loss(life_collector& lives)
{
    take_all(lives,
             {"1.0 c event=started control=true balancer=false relay=false",
              "1.0 b event=started control=false balancer=true relay=false",
              "1.0 s event=started control=false balancer=false relay=false",
              "9.0 c event=publishing sure=true",
              "10.0 s event=request step=answered",
              "11.2 c event=started control=true balancer=false relay=false",
              "11.0 b event=started control=false balancer=true relay=false",
              "11.1 s event=started control=false balancer=false relay=false",
              "11.5 c event=control_role role=leader",
              "11.6 c event=publishing sure=false",
              "11.7 c event=publishing sure=true",
              "11.8 b event=version_in_force version=3",
              "12.0 s event=placement action=admitted",
              "12.1 s event=request step=delivered",
              "12.2 s event=request step=answered",
              "13.0 s event=request step=answered"});
}

TEST(timeline, shows_each_phase_of_an_outage)
{
    life_collector lives;
    play_power_loss(lives);
    const auto found = find_outages(lives.lives(), outage_settings());
    ASSERT_EQ(found.size(), 1U);
    EXPECT_EQ(found[0].began, 10s);
    EXPECT_EQ(found[0].processes, 3U);
    const auto times = [&](phase reached, process_role role)
    {
        for (const phase_times& each : found[0].phases)
        {
            if (each.reached == reached && each.role == role)
            {
                return each.first;
            }
        }
        return duration::max();
    };
    EXPECT_EQ(times(phase::started, process_role::control), 1200ms);
    EXPECT_EQ(times(phase::leads, process_role::control), 1500ms);
    EXPECT_EQ(times(phase::confirmed, process_role::control), 1700ms);
    EXPECT_EQ(times(phase::in_force, process_role::balancer), 1800ms);
    EXPECT_EQ(times(phase::first_flow, process_role::agent), 2s);
    EXPECT_EQ(times(phase::first_answer, process_role::agent), 2200ms);
}

TEST(timeline, gives_first_median_and_last)
{
    life_collector lives;
    for (int index = 0; index < 5; ++index)
    {
        lives.take(fmt::format("1.0 p{} event=started", index));
    }
    for (int index = 0; index < 5; ++index)
    {
        lives.take(fmt::format("2.{} p{} event=started", index, index));
    }
    const auto found = find_outages(lives.lives(), outage_settings());
    ASSERT_EQ(found.size(), 1U);
    const phase_times& times = found[0].phases.at(0);
    EXPECT_EQ(times.first, 1s);
    EXPECT_EQ(times.median, 1200ms);
    EXPECT_EQ(times.last, 1400ms);
    EXPECT_EQ(times.processes, 5U);
}

TEST(timeline, restarts_one_after_the_other_are_no_outage)
{
    life_collector lives;
    for (int index = 0; index < 5; ++index)
    {
        lives.take(fmt::format("1.0 p{} event=started", index));
        lives.take(fmt::format("{}.0 p{} event=started", 2 + index, index));
    }
    EXPECT_TRUE(find_outages(lives.lives(), outage_settings()).empty());
}

TEST(timeline, counts_lines_that_cannot_be_read)
{
    life_collector lives;
    take_all(lives, {"day worth 0.5", "", "1.0 a event=started", "x y z"});
    EXPECT_EQ(lives.lines(), 3U);
    EXPECT_EQ(lives.unreadable(), 2U);
    EXPECT_EQ(lives.lives().size(), 1U);
}

TEST(timeline, text_and_plot_hold_every_phase)
{
    life_collector lives;
    play_power_loss(lives);
    const auto found = find_outages(lives.lives(), outage_settings());
    const std::string text = to_text(found);
    EXPECT_NE(text.find("3 processes away from 10.00 s on"), std::string::npos);
    EXPECT_NE(text.find("document confirmed   control      1.70"),
              std::string::npos)
        << text;
    const std::string plot = to_svg(found);
    for (const phase_times& each : found[0].phases)
    {
        EXPECT_NE(plot.find(to_string(each.reached)), std::string::npos);
    }
    EXPECT_EQ(plot.substr(plot.size() - 7), "</svg>\n");
    EXPECT_EQ(to_text({}), "");
}

} // namespace

} // namespace crowlink
