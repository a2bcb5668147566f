#include "link_simulation.hpp"

#include "crowlink/base/metrics.hpp"

#include <gtest/gtest.h>

namespace crowlink
{
namespace
{

using std::chrono::milliseconds;

constexpr double link_mbps = 5.0;
constexpr double link_bytes = link_mbps * 125e3;
constexpr double small_share = 0.2;
// What one request sends over the link: its opening packet and its data, each
// packet with the header for the agent.
constexpr double upload_link_bytes = 48'085.0;
constexpr double command_link_bytes = 1'362.0;
constexpr double played_seconds = 30.0;
// Long enough for every request to end.
constexpr double run_seconds = 40.0;

const route_terms upload_terms{request_class::upload, milliseconds(4000),
                               milliseconds(800), 2};
const route_terms command_terms{request_class::non_idempotent,
                                milliseconds(1500), milliseconds(300), 1};

request_load uploads(double load)
{
    return {upload_terms, 40'000,
            load * (1.0 - small_share) * link_bytes / upload_link_bytes};
}

request_load commands(double load)
{
    return {command_terms, 900,
            load * small_share * link_bytes / command_link_bytes};
}

request_load without_terms(request_load load)
{
    load.terms.reset();
    return load;
}

struct mixed_results
{
    caller_results uploads;
    caller_results commands;
    double longest_wait = 0.0;
    double link_use = 0.0;
};

// Uploads beside commands at a multiple of the link; empty `figure` for a host
// without the setting.
mixed_results play_mixed(double load, std::optional<double> figure,
                         double period = 0.0, double stopped = 0.0)
{
    link_simulation play(link_mbps);
    play.throttle(period, stopped);
    if (figure)
    {
        play.schedule(*figure);
    }
    const std::size_t bulk = play.add(uploads(load), 0.0, played_seconds);
    const std::size_t small = play.add(commands(load), 0.0, played_seconds);
    play.run(run_seconds);
    return {play.results(bulk), play.results(small), play.longest_wait(),
            play.link_use()};
}

std::uint64_t ended(const caller_results& got)
{
    return got.in_time + got.late + got.refused + got.failed;
}

TEST(egress_load, half_of_the_link_serves_all_in_time_and_refuses_none)
{
    const mixed_results got = play_mixed(0.5, link_mbps);
    EXPECT_EQ(got.uploads.in_time, got.uploads.requests);
    EXPECT_EQ(got.commands.in_time, got.commands.requests);
    // Uploads do not delay commands by more than the burst and a few packets.
    EXPECT_LT(got.commands.p99(), 100.0);
}

// Today nearly all of both kinds are late or fail: the link's own queue fills.
TEST(egress_load, a_full_link_serves_most_uploads_and_all_commands_in_time)
{
    const mixed_results got = play_mixed(1.0, link_mbps);
    // The pace of 0.9 leaves 0.7 of the link to uploads that need 0.8 of it;
    // served in time are at least 0.9 of what that allows.
    EXPECT_GT(got.uploads.in_time_share(), 0.9 * 0.7 / 0.8);
    EXPECT_EQ(got.uploads.late, 0U);
    EXPECT_EQ(got.uploads.failed, 0U);
    EXPECT_GT(got.commands.in_time_share(), 0.99);
    EXPECT_LT(got.longest_wait, 0.5);
    EXPECT_EQ(ended(got.uploads), got.uploads.requests);
}

TEST(egress_load, twice_the_link_refuses_uploads_early_and_keeps_commands)
{
    const mixed_results got = play_mixed(2.0, link_mbps);
    // The commands leave 0.5 of the link to uploads that need 1.6 of it.
    EXPECT_GT(got.uploads.in_time_share(), 0.9 * 0.5 / 1.6);
    EXPECT_GT(got.uploads.refused_share(), 0.6);
    // What was admitted is served.
    EXPECT_EQ(got.uploads.failed, 0U);
    EXPECT_LT(got.uploads.late * 8, got.uploads.in_time);
    EXPECT_GT(got.commands.in_time_share(), 0.99);
    EXPECT_LT(got.longest_wait, 0.5);
    EXPECT_GT(got.link_use, 0.85);
}

// Guards against rules that only help where the link overflows.
TEST(egress_load, without_the_setting_callers_get_what_they_get_today)
{
    const mixed_results got = play_mixed(2.0, std::nullopt);
    EXPECT_LT(got.uploads.in_time_share(), 0.05);
    EXPECT_LT(got.commands.in_time_share(), 0.05);
    EXPECT_EQ(got.uploads.refused, 0U);
}

// A flow of 5 MB fills the queue; others must not wait behind its packets, nor
// be refused for its size.
TEST(egress_load, a_huge_flow_takes_no_more_than_its_share)
{
    link_simulation play(link_mbps);
    play.schedule(link_mbps);
    route_terms patient = upload_terms;
    patient.timeout = std::chrono::seconds(60);
    const std::size_t huge = play.add({patient, 5'000'000, 1e-3}, 0.0, 0.1);
    const std::size_t bulk = play.add(uploads(0.4), 0.5, played_seconds);
    const std::size_t small = play.add(commands(0.5), 0.5, played_seconds);
    play.run(run_seconds);
    EXPECT_EQ(play.results(huge).in_time + play.results(huge).late, 1U);
    EXPECT_GT(play.results(bulk).in_time_share(), 0.97);
    EXPECT_GT(play.results(small).in_time_share(), 0.99);
    EXPECT_LT(play.longest_wait(), 0.5);
}

// 300 uploads within a second, for a link that carries 11 in a second.
TEST(egress_load, a_rush_of_flows_is_refused_but_for_those_that_fit)
{
    link_simulation play(link_mbps);
    play.schedule(link_mbps);
    const std::size_t bulk = play.add({upload_terms, 40'000, 300.0}, 0.0, 1.0);
    const std::size_t small = play.add(commands(0.5), 0.0, 5.0);
    play.run(run_seconds);
    const caller_results& got = play.results(bulk);
    EXPECT_GT(got.requests, 250U);
    EXPECT_GE(got.in_time, 8U);
    EXPECT_LE(got.late, 2U);
    EXPECT_EQ(got.failed, 0U);
    EXPECT_EQ(ended(got), got.requests);
    EXPECT_EQ(play.results(small).in_time, play.results(small).requests);
    EXPECT_LT(play.longest_wait(), 0.5);
}

// Half of the true figure: as on a link of that capacity, which is never used
// below half.
TEST(egress_load, a_figure_that_is_too_low_costs_no_more_than_it_is_low)
{
    const mixed_results got = play_mixed(1.0, link_mbps / 2.0);
    EXPECT_GT(got.link_use, 0.4);
    // The goal is 0.9 of what the link allows; 0.25 of it is left to uploads
    // that need 0.8.
    EXPECT_GT(got.uploads.in_time_share(), 0.9 * 0.25 / 0.8);
    EXPECT_EQ(got.uploads.failed, 0U);
    EXPECT_GT(got.commands.in_time_share(), 0.99);
}

// Twice the true figure: the link itself queues and drops as today, but fewer
// uploads are let in, so that more are served in the end.
TEST(egress_load, a_figure_that_is_too_high_delivers_more_than_none)
{
    const mixed_results today = play_mixed(1.0, std::nullopt);
    const mixed_results got = play_mixed(1.0, link_mbps * 2.0);
    EXPECT_GT(got.uploads.in_time + got.uploads.late,
              2 * (today.uploads.in_time + today.uploads.late));
    EXPECT_LT(got.uploads.failed * 4, today.uploads.failed);
    EXPECT_GE(got.commands.in_time + got.commands.late,
              today.commands.in_time + today.commands.late);
    EXPECT_EQ(ended(got.uploads), got.uploads.requests);
}

// Queued packets are lost; callers send them again.
TEST(egress_load, a_restart_loses_its_queues_but_no_request_for_good)
{
    link_simulation play(link_mbps);
    play.schedule(link_mbps);
    const std::size_t bulk = play.add(uploads(0.8), 0.0, played_seconds);
    const std::size_t small = play.add(commands(0.8), 0.0, played_seconds);
    for (const double time : {5.0, 10.0, 15.0, 20.0, 25.0})
    {
        play.restart_at(time, link_mbps);
    }
    play.run(run_seconds);
    EXPECT_GT(play.results(bulk).in_time_share(), 0.8);
    EXPECT_EQ(play.results(bulk).failed, 0U);
    EXPECT_EQ(ended(play.results(bulk)), play.results(bulk).requests);
    EXPECT_GT(play.results(small).in_time_share(), 0.99);
}

// The same requests get the same as on a host without the setting, packet for
// packet.
TEST(egress_load, flows_without_terms_are_sent_at_once_and_never_refused)
{
    link_simulation today(link_mbps);
    link_simulation play(link_mbps);
    play.schedule(link_mbps);
    for (link_simulation* each : {&today, &play})
    {
        each->add(without_terms(uploads(2.0)), 0.0, played_seconds);
        each->add(without_terms(commands(2.0)), 0.0, played_seconds);
        each->run(run_seconds);
    }
    EXPECT_EQ(play.queued_packets(), 0U);
    EXPECT_EQ(play.scheduler().counts(), egress_counts());
    for (const std::size_t kind : {0U, 1U})
    {
        EXPECT_EQ(play.results(kind).requests, today.results(kind).requests);
        EXPECT_EQ(play.results(kind).took, today.results(kind).took);
        EXPECT_EQ(play.results(kind).failed, today.results(kind).failed);
    }
}

// While control hosts of both releases are in use, some routes have no terms.
TEST(egress_load, flows_with_terms_are_served_beside_flows_without)
{
    link_simulation play(link_mbps);
    play.schedule(link_mbps);
    const std::size_t plain =
        play.add(without_terms(commands(1.5)), 0.0, played_seconds);
    const std::size_t bulk = play.add(uploads(0.5), 0.0, played_seconds);
    const std::size_t small = play.add(commands(0.5), 0.0, played_seconds);
    play.run(run_seconds);
    EXPECT_GT(play.results(plain).in_time_share(), 0.99);
    EXPECT_GT(play.results(bulk).in_time_share(), 0.8);
    EXPECT_GT(play.results(small).in_time_share(), 0.99);
}

// A host with 0.038 cores may run for 20 ms of every 100 ms only.
TEST(egress_load, a_host_that_runs_in_bursts_uses_half_of_its_link_or_more)
{
    const mixed_results got = play_mixed(1.0, link_mbps, 0.1, 0.08);
    EXPECT_GT(got.link_use, 0.5);
    EXPECT_EQ(got.uploads.failed, 0U);
    EXPECT_GT(got.commands.in_time_share(), 0.95);
}

// Uploads that are let in must be served in time here too: the host can send
// for half of the time.
TEST(egress_load, a_host_that_runs_in_bursts_serves_uploads_in_time)
{
    const mixed_results got = play_mixed(1.0, link_mbps, 0.1, 0.08);
    EXPECT_GT(got.uploads.in_time_share(), 0.4);
}

} // namespace
} // namespace crowlink
