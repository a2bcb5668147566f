#include "request_simulation.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <sstream>

namespace crowlink::test
{
namespace
{

constexpr std::uint64_t fixed_seed = 20261202;

rc::Gen<simulation_settings> any_simulation()
{
    using rc::gen::inRange;
    using rc::gen::set;
    return rc::gen::build<simulation_settings>(
        set(&simulation_settings::seed, inRange<std::uint64_t>(1, 1000000)),
        set(&simulation_settings::loss, inRange(0, 30)),
        set(&simulation_settings::duplicates, inRange(0, 40)),
        set(&simulation_settings::delayed, inRange(0, 20)),
        set(&simulation_settings::strays, inRange(0, 20)),
        set(&simulation_settings::shed, inRange(0, 50)),
        set(&simulation_settings::cancels, inRange(0, 30)),
        set(&simulation_settings::delay, inRange(1, 40)),
        set(&simulation_settings::agents, inRange(1, 5)),
        set(&simulation_settings::faults, inRange(0, 40)),
        set(&simulation_settings::drains, inRange(0, 6)),
        set(&simulation_settings::requests, inRange(1, 300)),
        set(&simulation_settings::sessions, inRange(1, 20)),
        set(&simulation_settings::ticket_validity, inRange(0, 200)));
}

TEST(request_simulation, all_guarantees_hold_in_random_simulations)
{
    int ran = 0;
    int not_run = 0;
    int may_have_run = 0;
    rc::detail::TestParams params;
    params.seed = fixed_seed;
    params.maxSuccess = 300;
    const auto outcome = rc::detail::checkTestable(
        [&]
        {
            const simulation_settings settings = *any_simulation();
            request_simulation simulation(settings);
            const std::string failure = simulation.run();
            ran += simulation.ran();
            not_run += simulation.not_run();
            may_have_run += simulation.may_have_run();
            if (!failure.empty())
            {
                RC_FAIL(failure);
            }
        },
        rc::detail::TestMetadata(), params);
    std::ostringstream message;
    rc::detail::printResultMessage(outcome, message);
    EXPECT_TRUE(outcome.template is<rc::detail::SuccessResult>())
        << message.str();
    // Guards against simulations that prove little because they produce hardly
    // any of one verdict.
    EXPECT_GT(ran, 1000);
    EXPECT_GT(not_run, 1000);
    EXPECT_GT(may_have_run, 1000);
}

// Expects that every request gets the answer of the reference service; the
// settings must contain no random faults.
void expect_all_ran(simulation_settings settings)
{
    settings.requests = 200;
    settings.min_deadline = 500;
    for (settings.seed = 1; settings.seed <= 20; ++settings.seed)
    {
        request_simulation simulation(settings);
        ASSERT_EQ(simulation.run(), "") << settings;
        EXPECT_EQ(simulation.ran(), settings.requests) << settings;
    }
}

TEST(request_simulation, without_faults_every_request_gets_the_reference_answer)
{
    expect_all_ran({});
}

TEST(request_simulation, draining_agents_interrupt_no_request)
{
    simulation_settings settings;
    settings.drains = 5;
    expect_all_ran(settings);
}

} // namespace
} // namespace crowlink::test
