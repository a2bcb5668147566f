#include "crowlink/membership.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>

namespace crowlink::test
{

namespace
{

constexpr duration tick = std::chrono::milliseconds(25);
constexpr time_point start{std::chrono::hours(1)};

upstream_record upstream(std::size_t number, upstream_state state)
{
    upstream_record made;
    made.id = upstream_id(fmt::format("u{}", number));
    made.service = service_id(1);
    made.started = incarnation(1);
    made.sequence = state == upstream_state::ready ? 1 : 2;
    made.where = place_id("p");
    made.state = state;
    return made;
}

// A publisher whose nodes have all that is known.
class publisher_with_nodes
{
public:
    explicit publisher_with_nodes(std::size_t nodes) : m_core(settings(), 1)
    {
        m_core.set_ready(true);
        m_core.document_changed(config_version(1), system_document());
        for (std::size_t number = 0; number < nodes; ++number)
        {
            wire::membership_message asked;
            asked.mutable_attach_request()->set_all_services(true);
            m_core.handle(m_now, host_id(fmt::format("n{}", number)), asked);
        }
        run(std::chrono::seconds(5));
        m_messages = 0;
        m_members = 0;
    }

    void join() { change(upstream_state::ready, m_joined++); }
    void leave() { change(upstream_state::draining, m_left++); }

    void step()
    {
        m_now += tick;
        for (const membership_send& each : m_core.tick(m_now))
        {
            m_messages += each.message.has_part() ? 1 : 0;
            m_members += static_cast<std::size_t>(
                each.message.has_part() ? each.message.part().members_size()
                                        : 0);
        }
    }

    void run(duration time)
    {
        for (duration passed{}; passed < time; passed += tick)
        {
            step();
        }
    }

    std::size_t messages() const { return m_messages; }
    std::size_t members() const { return m_members; }

private:
    static publisher_settings settings()
    {
        publisher_settings made;
        made.bytes_per_second = 65536;
        made.burst_bytes = 65536;
        return made;
    }

    void change(upstream_state state, std::size_t number)
    {
        m_core.record_changed(m_now, upstream(number, state));
    }

    publisher m_core;
    time_point m_now = start;
    std::size_t m_joined = 0;
    std::size_t m_left = 0;
    std::size_t m_messages = 0;
    std::size_t m_members = 0;
};

constexpr int joins = 40;

} // namespace

// Guards against a message to each node for each upstream that starts: those
// grow with nodes times upstreams, and each makes a node build its tables anew.
TEST(collected_changes, messages_a_second_do_not_grow_with_the_nodes)
{
    for (const std::size_t nodes : {100U, 400U, 1'600U})
    {
        publisher_with_nodes tested(nodes);
        for (int count = 0; count < joins; ++count)
        {
            tested.join();
            tested.step();
        }
        tested.run(std::chrono::seconds(3));
        // A second of changes, the first of which goes to all nodes at once,
        // and what is left at its end.
        const auto a_second = static_cast<std::size_t>(
            publisher_settings().ordinary_messages_per_second);
        EXPECT_LE(tested.messages(), a_second + 2 * nodes) << nodes;
        EXPECT_EQ(tested.members(), joins * nodes) << nodes;
    }
}

// An upstream that leaves must get no new flows: that does not wait.
TEST(collected_changes, upstreams_that_leave_are_told_at_once)
{
    constexpr std::size_t nodes = 400;
    publisher_with_nodes tested(nodes);
    tested.join();
    tested.step();
    tested.join();
    tested.step();
    const std::size_t before = tested.members();
    tested.leave();
    tested.step();
    EXPECT_GE(tested.members() - before, nodes);
}

TEST(collected_changes, the_first_after_a_pause_is_sent_at_once)
{
    constexpr std::size_t nodes = 400;
    publisher_with_nodes tested(nodes);
    tested.join();
    tested.step();
    EXPECT_EQ(tested.members(), nodes);
}

// A few nodes get each change in the next tick, as before.
TEST(collected_changes, few_nodes_do_not_wait)
{
    constexpr std::size_t nodes = 20;
    publisher_with_nodes tested(nodes);
    for (std::size_t count = 1; count <= joins; ++count)
    {
        tested.join();
        tested.step();
        EXPECT_EQ(tested.members(), count * nodes);
    }
}

} // namespace crowlink::test
