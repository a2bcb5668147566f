#include "control/control_thread.hpp"

#include <gtest/gtest.h>

namespace crowlink::internal
{

namespace
{

// A relay's control thread, which needs no data folder and no roles.
class control_commands : public testing::Test
{
protected:
    control_commands()
    {
        m_settings.host =
            host_settings{host_id("127.0.0.1"), place_id("p"), region_id("r")};
        m_settings.is_network_trusted = true;
        m_settings.operator_relay = *endpoint::parse("127.0.0.1:0");
        m_settings.seeds = seed_settings{};
        m_control = *control_thread::open(m_settings, identity(), m_zmq,
                                          nullptr, nullptr, m_agents, m_log);
        m_control->start();
    }

    daemon_settings m_settings;
    zmq::context_t m_zmq;
    log_sink m_log{stdout, log_format::key_value, log_level::error, 16};
    std::vector<std::unique_ptr<agent_role>> m_agents;
    std::unique_ptr<control_thread> m_control;
};

// Guards against reads that are answered by a lease which ended while the
// process was suspended: a command must see the time at which it is taken, not
// that at which its round began.
TEST_F(control_commands, see_the_present_time_after_a_pause)
{
    std::promise<time_point> pause_ended;
    std::promise<time_point> seen;
    const auto ask = [&seen](control_thread::context& with)
    {
        seen.set_value(with.now);
    };
    m_control->post(
        [&](control_thread::context& with)
        {
            const steady_clock_source clock;
            time_point now = clock.now();
            while (now <= with.now)
            {
                now = clock.now();
            }
            pause_ended.set_value(now);
            // In the same round.
            m_control->post(ask);
        });
    EXPECT_GE(seen.get_future().get(), pause_ended.get_future().get());
}

} // namespace

} // namespace crowlink::internal
