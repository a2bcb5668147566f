#include "fake_cluster.hpp"

// Requests of nodes while no control host may publish its document.

namespace crowlink::test
{

namespace
{

wire::membership_message attach_request()
{
    wire::membership_message out;
    out.mutable_attach_request()->set_all_services(true);
    return out;
}

system_document one_service()
{
    system_document document;
    service declared;
    declared.id = service_id(1);
    declared.name = "service";
    document.services.push_back(declared);
    return document;
}

class waiting_requests : public ::testing::Test
{
protected:
    waiting_requests() : m_core(publisher_settings(), 1)
    {
        m_core.set_ready(true);
        m_core.set_document_age(std::chrono::hours(1));
        m_core.document_changed(config_version(7), one_service());
    }

    bool is_kept(const wire::membership_message& request)
    {
        const auto answers = m_core.handle(m_now, host_id("node"), request);
        return answers.size() == 1 && answers[0].message.has_refused() &&
               answers[0].message.refused().kept();
    }

    time_point m_now{std::chrono::hours(1)};
    publisher m_core;
};

TEST_F(waiting_requests, request_is_kept_while_the_document_is_unconfirmed)
{
    EXPECT_TRUE(is_kept(attach_request()));
    m_now += std::chrono::seconds(1);
    EXPECT_TRUE(m_core.tick(m_now).empty());
    EXPECT_EQ(m_core.nodes(), 0U);
    EXPECT_EQ(m_core.waiting(), 1U);
}

TEST_F(waiting_requests,
       kept_request_is_served_at_the_tick_after_the_document_is_confirmed)
{
    ASSERT_TRUE(is_kept(attach_request()));
    m_now += std::chrono::milliseconds(500);
    m_core.set_document_age(duration::zero());
    const auto sends = m_core.tick(m_now);
    ASSERT_FALSE(sends.empty());
    EXPECT_EQ(sends[0].to, host_id("node"));
    ASSERT_TRUE(sends[0].message.has_part());
    EXPECT_EQ(sends[0].message.part().sequence(), 1U);
    EXPECT_TRUE(sends[0].message.part().document_complete());
    EXPECT_EQ(m_core.waiting(), 0U);
}

TEST_F(waiting_requests, kept_request_is_dropped_after_its_timeout)
{
    ASSERT_TRUE(is_kept(attach_request()));
    m_now += publisher_settings().waiting_timeout + std::chrono::seconds(1);
    m_core.set_document_age(duration::zero());
    EXPECT_TRUE(m_core.tick(m_now).empty());
    EXPECT_EQ(m_core.waiting(), 0U);
}

TEST_F(waiting_requests, stream_ends_when_its_node_reports_it_ended)
{
    m_core.set_document_age(duration::zero());
    m_core.handle(m_now, host_id("node"), attach_request());
    const auto sends = m_core.tick(m_now);
    ASSERT_FALSE(sends.empty());
    wire::membership_message ended;
    ended.mutable_ended()->set_stream(sends[0].message.part().stream() + 2);
    m_core.handle(m_now, host_id("node"), ended);
    EXPECT_EQ(m_core.nodes(), 1U);
    ended.mutable_ended()->set_stream(sends[0].message.part().stream());
    EXPECT_TRUE(m_core.handle(m_now, host_id("node"), ended).empty());
    EXPECT_EQ(m_core.nodes(), 0U);
}

TEST_F(waiting_requests, kept_requests_are_limited_by_the_node_capacity)
{
    publisher_settings settings;
    settings.node_capacity = 2;
    publisher core(settings, 1);
    core.document_changed(config_version(7), one_service());
    core.set_document_age(std::chrono::hours(1));
    int kept = 0;
    for (const char* node : {"a", "b", "c"})
    {
        const auto sent = core.handle(m_now, host_id(node), attach_request());
        kept += sent.at(0).message.refused().kept() ? 1 : 0;
    }
    EXPECT_EQ(kept, 2);
    EXPECT_EQ(core.waiting(), 2U);
}

// Guards against nodes that start with a document that this host knows to be
// superseded, since it is still reading the next one.
TEST_F(waiting_requests, wait_while_a_newer_document_is_read)
{
    publisher core(publisher_settings(), 1);
    core.set_ready(true);
    core.document_changed(config_version(7), one_service());
    core.set_document_lag(std::chrono::hours(1));
    core.handle(m_now, host_id("node"), attach_request());
    EXPECT_EQ(core.waiting(), 1U);
    EXPECT_EQ(core.nodes(), 0U);
    core.set_document_lag(duration::zero());
    core.tick(m_now);
    EXPECT_EQ(core.nodes(), 1U);
}

// A host whose disk was lost gets the document later than other hosts may
// serve.
TEST_F(waiting_requests, request_is_refused_by_a_host_without_a_document)
{
    publisher core(publisher_settings(), 1);
    core.set_ready(true);
    core.set_document_age(std::chrono::hours(1));
    const auto sent = core.handle(m_now, host_id("node"), attach_request());
    ASSERT_EQ(sent.size(), 1U);
    ASSERT_TRUE(sent[0].message.has_refused());
    EXPECT_FALSE(sent[0].message.refused().kept());
    EXPECT_EQ(core.waiting(), 0U);
}

// A node whose request is kept by a control host.
class kept_request : public ::testing::Test
{
protected:
    kept_request() : m_core(settings(), 1, m_now) {}

    static subscriber_settings settings()
    {
        subscriber_settings out;
        out.wants.all_services = true;
        out.publishers = {{host_id("a"), place_id("p"), region_id("r")},
                          {host_id("b"), place_id("p"), region_id("r")}};
        return out;
    }

    // Ticks until the node sends an attach request; returns its recipient.
    host_id next_asked(duration longest)
    {
        const time_point end = m_now + longest;
        while (m_now < end)
        {
            m_now += std::chrono::milliseconds(50);
            for (const membership_send& each : m_core.tick(m_now).sends)
            {
                if (each.message.has_attach_request())
                {
                    return each.to;
                }
            }
        }
        return {};
    }

    void keep(const host_id& by) { refuse(by, true); }

    void refuse(const host_id& by, bool kept = false)
    {
        wire::membership_message refused;
        refused.mutable_refused()->set_kept(kept);
        m_core.handle(m_now, by, refused);
    }

    time_point m_now{std::chrono::hours(1)};
    subscriber m_core;
};

TEST_F(kept_request, node_asks_no_other_publisher_while_its_request_is_kept)
{
    const host_id first = next_asked(std::chrono::seconds(2));
    ASSERT_NE(first, host_id());
    keep(first);
    EXPECT_EQ(next_asked(std::chrono::milliseconds(1900)), host_id());
    wire::membership_message message;
    wire::stream_part& part = *message.mutable_part();
    part.set_stream(5);
    part.set_sequence(1);
    part.set_version(9);
    part.set_document_complete(true);
    m_core.handle(m_now, first, message);
    EXPECT_TRUE(m_core.attached());
    EXPECT_EQ(m_core.applied_version(), config_version(9));
}

TEST_F(kept_request, refused_node_asks_the_next_publisher_at_once)
{
    constexpr std::chrono::milliseconds one_tick(50);
    const host_id first = next_asked(std::chrono::seconds(2));
    refuse(first);
    const host_id second = next_asked(one_tick);
    EXPECT_NE(second, host_id());
    EXPECT_NE(second, first);
    // Once all have refused, the node backs off.
    refuse(second);
    EXPECT_EQ(next_asked(std::chrono::milliseconds(200)), host_id());
    EXPECT_NE(next_asked(std::chrono::seconds(1)), host_id());
}

TEST_F(kept_request, node_ends_the_stream_of_a_publisher_that_serves_too_late)
{
    const host_id first = next_asked(std::chrono::seconds(2));
    keep(first);
    const host_id second = next_asked(std::chrono::seconds(4));
    wire::membership_message message;
    message.mutable_part()->set_stream(5);
    message.mutable_part()->set_sequence(1);
    m_core.handle(m_now, second, message);
    ASSERT_TRUE(m_core.attached());
    message.mutable_part()->set_stream(7);
    const auto sends = m_core.handle(m_now, first, message).sends;
    ASSERT_EQ(sends.size(), 1U);
    EXPECT_EQ(sends[0].to, first);
    EXPECT_EQ(sends[0].message.ended().stream(), 7U);
    EXPECT_EQ(m_core.source(), second);
}

TEST_F(kept_request,
       node_fails_over_from_a_publisher_that_does_not_serve_in_time)
{
    const host_id first = next_asked(std::chrono::seconds(2));
    keep(first);
    const host_id second = next_asked(std::chrono::seconds(4));
    EXPECT_NE(second, host_id());
    EXPECT_NE(second, first);
}

} // namespace

} // namespace crowlink::test
