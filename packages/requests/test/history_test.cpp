#include "history.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <sstream>

namespace crowlink::test
{
namespace
{

constexpr std::uint64_t fixed_seed = 20261202;

rc::Gen<history_settings> any_history()
{
    using rc::gen::inRange;
    using rc::gen::set;
    return rc::gen::build<history_settings>(
        set(&history_settings::seed, inRange<std::uint64_t>(1, 1000000)),
        set(&history_settings::loss, inRange(0, 30)),
        set(&history_settings::duplicates, inRange(0, 40)),
        set(&history_settings::late, inRange(0, 20)),
        set(&history_settings::strays, inRange(0, 20)),
        set(&history_settings::shed, inRange(0, 50)),
        set(&history_settings::cancels, inRange(0, 30)),
        set(&history_settings::delay, inRange(1, 40)),
        set(&history_settings::agents, inRange(1, 5)),
        set(&history_settings::faults, inRange(0, 40)),
        set(&history_settings::drains, inRange(0, 6)),
        set(&history_settings::requests, inRange(1, 300)),
        set(&history_settings::sessions, inRange(1, 20)),
        set(&history_settings::fresh_for, inRange(0, 200)));
}

TEST(history, every_promise_holds_in_random_histories)
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
            const history_settings settings = *any_history();
            history one(settings);
            const std::string wrong = one.run();
            ran += one.ran();
            not_run += one.not_run();
            may_have_run += one.may_have_run();
            if (!wrong.empty())
            {
                RC_FAIL(wrong);
            }
        },
        rc::detail::TestMetadata(), params);
    std::ostringstream message;
    rc::detail::printResultMessage(outcome, message);
    EXPECT_TRUE(outcome.template is<rc::detail::SuccessResult>())
        << message.str();
    // The histories must bring about all three verdicts to prove anything.
    EXPECT_GT(ran, 1000);
    EXPECT_GT(not_run, 1000);
    EXPECT_GT(may_have_run, 1000);
}

// Without chance faults every request must get the naive service's answer.
void expect_all_ran(history_settings settings)
{
    settings.requests = 200;
    settings.least_deadline = 500;
    for (settings.seed = 1; settings.seed <= 20; ++settings.seed)
    {
        history one(settings);
        ASSERT_EQ(one.run(), "") << settings;
        EXPECT_EQ(one.ran(), settings.requests) << settings;
    }
}

TEST(history, without_faults_every_request_gets_the_naive_services_answer)
{
    expect_all_ran({});
}

TEST(history, agents_that_leave_cut_no_request)
{
    history_settings settings;
    settings.drains = 5;
    expect_all_ran(settings);
}

} // namespace
} // namespace crowlink::test
