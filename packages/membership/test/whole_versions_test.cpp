#include "one_node.hpp"

// When a node puts a version in force. Each test guards against flows that a
// node leads by the old version after others by the new one.
namespace crowlink::test
{

namespace
{

// The time within which a version is in force with the default settings, and
// the ticks of publisher and node beside it.
constexpr duration version_time = std::chrono::milliseconds(750);
constexpr duration ticks = std::chrono::milliseconds(500);

// What decides where flows are led.
using routing = std::map<share_key, std::uint32_t>;

routing routing_of(const std::vector<service>& services)
{
    routing out;
    for (const service& each : services)
    {
        for (const address_share& share : each.shares)
        {
            out[share_key{each.id, share.address}] = share.weight;
        }
    }
    return out;
}

void move_all(system_document& document, std::uint32_t to, std::uint32_t weight)
{
    for (route& each : document.routes)
    {
        each.shares = {route_share{service_id(to), weight}};
    }
}

// Notes each routing that the node shows and each that was published.
class whole_versions : public one_node
{
protected:
    void publish(const system_document& document)
    {
        change(document);
        m_published[routing_of(with_shares(document))] =
            published{m_version, m_now};
    }

    void views_changed(const subscriber_output& /*out*/) override
    {
        std::vector<service> shown;
        for (const auto& each : m_views)
        {
            shown.push_back(each.second);
        }
        const auto found = m_published.find(routing_of(shown));
        if (found == m_published.end())
        {
            ++m_mixtures;
            return;
        }
        m_shown = found->second;
    }

    // How long the oldest version has been published that the node should show
    // and does not.
    duration delay() const
    {
        time_point oldest = m_now;
        for (const auto& [routes, each] : m_published)
        {
            if (each.version > m_shown.version)
            {
                oldest = std::min(oldest, each.since);
            }
        }
        return m_now - oldest;
    }

    void start_with(const system_document& document)
    {
        m_settings.bytes_per_second = 64 * 1024;
        m_settings.burst_bytes = 64 * 1024;
        start(1);
        publish(document);
        run(std::chrono::seconds(5));
        ASSERT_TRUE(shows(document));
        m_declarations = 0;
    }

    struct published
    {
        std::uint64_t version = 0;
        time_point since{};
    };

    std::map<routing, published> m_published;
    published m_shown;
    int m_mixtures = 0;
};

class moved_routes : public whole_versions,
                     public ::testing::WithParamInterface<std::uint32_t>
{
};

TEST_P(moved_routes, are_in_force_together_and_in_time)
{
    system_document document = document_of(GetParam());
    start_with(document);
    move_all(document, bibliotheque, 1);
    publish(document);
    run(version_time + ticks);
    EXPECT_TRUE(shows(document));
    EXPECT_EQ(m_mixtures, 0);
    EXPECT_EQ(m_declarations, 0);
    EXPECT_EQ(m_node->reattachments(), 0U);
}

INSTANTIATE_TEST_SUITE_P(counts, moved_routes,
                         ::testing::Values(110, 1750, 3500, 9000));

TEST_F(whole_versions, are_in_force_in_time_while_changes_follow_each_other)
{
    system_document document = document_of(1750);
    start_with(document);
    for (std::uint32_t round = 0; round < 50; ++round)
    {
        move_all(document, round % 2 == 0 ? bibliotheque : registre, 1 + round);
        publish(document);
        for (int steps = 0; steps < 2; ++steps)
        {
            step();
            EXPECT_LE(delay(), version_time + ticks);
        }
    }
    run(version_time + ticks);
    EXPECT_TRUE(shows(document));
    EXPECT_EQ(m_mixtures, 0);
    EXPECT_EQ(m_node->reattachments(), 0U);
}

// Each of them would otherwise put off the end of the one before.
TEST_F(whole_versions, are_in_force_though_the_host_s_bytes_do_not_suffice)
{
    m_settings.version_bytes_per_second = 64 * 1024;
    system_document document = document_of(3500);
    start_with(document);
    for (std::uint32_t round = 0; round < 20; ++round)
    {
        move_all(document, round % 2 == 0 ? bibliotheque : registre, 1 + round);
        publish(document);
        for (int steps = 0; steps < 10; ++steps)
        {
            step();
            EXPECT_LE(delay(), m_settings.version_limit + ticks);
        }
    }
    EXPECT_EQ(m_mixtures, 0);
}

// Publishers lag behind each other, connections break, and the node restarts.
TEST_F(whole_versions, are_all_that_a_node_shows)
{
    for (std::uint64_t seed = 1; seed <= 30 && !HasFailure(); ++seed)
    {
        seeded_random random(seed);
        const auto draw = [&random](std::size_t most)
        {
            return std::uniform_int_distribution<std::size_t>(0, most)(random);
        };
        m_publishers.clear();
        m_views.clear();
        m_published.clear();
        m_version = 0;
        m_settings.bytes_per_second = draw(1) == 0 ? 512 : 8192;
        m_settings.version_bytes_per_second = draw(1) == 0 ? 4096 : 16e6;
        start(3);
        system_document document = document_of(200);
        publish(document);
        for (int round = 0; round < 60; ++round)
        {
            document = drawn_change(document, random);
            if (draw(4) == 0)
            {
                move_all(document, draw(1) == 0 ? registre : bibliotheque, 1);
            }
            ++m_version;
            m_published[routing_of(with_shares(document))] =
                published{m_version, m_now};
            for (auto& [name, from] : m_publishers)
            {
                if (draw(2) > 0)
                {
                    from.document_changed(config_version(m_version), document);
                }
            }
            if (draw(9) == 0)
            {
                const host_id left = m_node->source();
                m_node->connection_lost(m_now, left);
                m_node->connection_made(m_now, left);
            }
            if (draw(19) == 0)
            {
                restart_node();
            }
            for (std::size_t steps = draw(12); steps > 0; --steps)
            {
                step();
            }
        }
        publish(document);
        run(std::chrono::seconds(60));
        EXPECT_TRUE(shows(document)) << "seed " << seed;
        EXPECT_EQ(m_mixtures, 0) << "seed " << seed;
    }
}

upstream_record member_of(std::uint32_t service, std::size_t number,
                          std::uint64_t sequence)
{
    upstream_record made;
    made.id = upstream_id("u" + std::to_string(number));
    made.service = service_id(service);
    made.started = incarnation(1);
    made.sequence = sequence;
    made.weight = 100 + static_cast<std::uint32_t>(sequence);
    made.agent = *endpoint::parse("10.0.0.1:80");
    made.where = place_id("p");
    return made;
}

// A node with so many members that they take far longer than a version.
class many_members : public whole_versions
{
protected:
    static constexpr std::size_t count = 600;

    void set_members(std::uint64_t sequence)
    {
        for (auto& [name, from] : m_publishers)
        {
            for (std::size_t number = 0; number < count; ++number)
            {
                for (const std::uint32_t service : {registre, bibliotheque})
                {
                    from.record_changed(m_now,
                                        member_of(service, number, sequence));
                }
            }
        }
    }

    void views_changed(const subscriber_output& out) override
    {
        whole_versions::views_changed(out);
        for (const service_view& view : out.changed)
        {
            m_fewest = std::min(m_fewest, view.members.size());
        }
    }

    std::size_t m_fewest = count;
};

// Guards against a service that a fresh node serves with a few of its members.
TEST_F(many_members, are_there_when_a_fresh_node_shows_a_service)
{
    start(1);
    set_members(1);
    m_settings.bytes_per_second = 4096;
    system_document document = document_of(10);
    change(document);
    run(std::chrono::seconds(5));
    EXPECT_FALSE(shows(document));
    run(std::chrono::seconds(60));
    EXPECT_TRUE(shows(document));
    EXPECT_EQ(m_fewest, std::size_t(count));
}

// Guards against a version that waits for the members that a node lacks after
// it has changed to another publisher.
TEST_F(many_members, do_not_delay_a_version)
{
    start(1);
    system_document document = document_of(10);
    set_members(1);
    publish(document);
    run(std::chrono::seconds(60));
    ASSERT_TRUE(shows(document));
    const host_id name = m_node->source();
    m_node->connection_lost(m_now, name);
    set_members(2);
    move_all(document, bibliotheque, 1);
    publish(document);
    m_node->connection_made(m_now, name);
    run(std::chrono::seconds(2));
    EXPECT_TRUE(shows(document));
    EXPECT_LT(m_node->applied_version(), config_version(m_version));
    run(std::chrono::seconds(60));
    EXPECT_EQ(m_node->applied_version(), config_version(m_version));
    EXPECT_EQ(m_mixtures, 0);
}

} // namespace

} // namespace crowlink::test
