#include "crowlink/membership.hpp"

#include <gtest/gtest.h>

namespace crowlink::test
{

namespace
{

// A subscriber that receives stream parts made by the test.
class subscriber_stream : public ::testing::Test
{
protected:
    subscriber_stream() : m_core(settings(), 1, m_now)
    {
        attach();
        wire::stream_part first = part(1, 5);
        add_service(first, 4);
        add_member(first, 7, 0);
        first.set_snapshot_end(true);
        first.set_document_complete(true);
        take(first);
    }

    static subscriber_settings settings()
    {
        subscriber_settings out;
        out.wants.all_services = true;
        out.publishers = {{host_id("c"), place_id("p"), region_id("r")}};
        return out;
    }

    // Ticks until the node sends an attach request.
    void attach()
    {
        for (int step = 0; step < 200; ++step)
        {
            m_now += std::chrono::milliseconds(100);
            for (const membership_send& each : m_core.tick(m_now).sends)
            {
                if (each.message.has_attach_request())
                {
                    ++m_stream;
                    return;
                }
            }
        }
        FAIL() << "the node asks for no stream";
    }

    wire::stream_part part(std::uint32_t sequence, std::uint64_t version) const
    {
        wire::stream_part out;
        out.set_stream(m_stream);
        out.set_sequence(sequence);
        out.set_version(version);
        return out;
    }

    static void add_service(wire::stream_part& to, std::uint32_t slots)
    {
        auto& declared = *to.add_declared();
        declared.set_id(1);
        declared.set_slots(slots);
    }

    static void add_member(wire::stream_part& to, std::uint64_t sequence,
                           std::uint32_t state)
    {
        to.add_places("p");
        auto& member = *to.add_members();
        member.set_service(1);
        member.set_id("u");
        member.set_started(3);
        member.set_sequence(sequence);
        member.set_address("abcd");
        member.set_state(state);
    }

    subscriber_output take(const wire::stream_part& value)
    {
        wire::membership_message message;
        *message.mutable_part() = value;
        return m_core.handle(m_now, host_id("c"), message);
    }

    std::uint32_t slots() const
    {
        return m_core.view(service_id(1))->declared.limits.slots;
    }

    std::size_t members() const
    {
        return m_core.view(service_id(1))->members.size();
    }

    time_point m_now{std::chrono::hours(1)};
    std::uint32_t m_stream = 0;
    std::uint32_t m_sequence = 1;
    subscriber m_core;
};

// Members of an evacuated data centre get no new flows. An order of an older
// revision does not change that; one of a newer revision does.
TEST_F(subscriber_stream, applies_evacuations_in_the_order_of_their_revisions)
{
    const auto order = [this](std::uint64_t revision, bool evacuates)
    {
        wire::stream_part next = part(++m_sequence, 5);
        next.set_evacuations_revision(revision);
        if (evacuates)
        {
            next.add_evacuated_places("p");
        }
        take(next);
        return m_core.view(service_id(1))->members.at(0).state;
    };
    EXPECT_EQ(order(3, true), upstream_state::draining);
    EXPECT_EQ(order(2, false), upstream_state::draining);
    EXPECT_EQ(order(4, false), upstream_state::ready);
    EXPECT_EQ(order(3, true), upstream_state::ready);
}

// A service that the document no longer lists is reported as removed when its
// last member has gone, and not before: balancers then forget the members.
TEST_F(subscriber_stream, reports_a_removed_service_after_its_last_member)
{
    wire::stream_part undeclared = part(++m_sequence, 6);
    auto& removed = *undeclared.add_declared();
    removed.set_id(1);
    removed.set_removed(true);
    undeclared.set_document_complete(true);
    const subscriber_output first = take(undeclared);
    EXPECT_TRUE(first.removed.empty());
    ASSERT_EQ(first.changed.size(), 1U);
    EXPECT_EQ(first.changed[0].version, config_version(6));
    EXPECT_EQ(first.changed[0].members.size(), 1U);
    // The node drops the declaration itself meanwhile.
    m_now += std::chrono::minutes(2);
    m_core.tick(m_now);
    attach();
    wire::stream_part ended = part(m_sequence = 1, 6);
    add_member(ended, 8, 2);
    ended.set_document_complete(true);
    const subscriber_output last = take(ended);
    EXPECT_EQ(last.removed, std::vector<service_id>{service_id(1)});
    EXPECT_TRUE(last.changed.empty());
}

// A node that attaches gets the evacuations in the first part, before any
// member.
TEST(publisher, sends_evacuations_and_their_end_to_a_node)
{
    time_point now{std::chrono::hours(1)};
    publisher from(publisher_settings(), 1);
    from.set_ready(true);
    from.document_changed(config_version(1), system_document());
    from.evacuations_changed(4, {place_id("north")});
    from.evacuations_changed(3, {});
    wire::membership_message attach;
    attach.mutable_attach_request()->set_all_services(true);
    from.handle(now, host_id("node"), attach);
    const auto first = from.tick(now);
    ASSERT_FALSE(first.empty());
    const wire::stream_part& told = first.front().message.part();
    EXPECT_EQ(told.evacuations_revision(), 4U);
    ASSERT_EQ(told.evacuated_places_size(), 1);
    EXPECT_EQ(told.evacuated_places(0), "north");

    now += std::chrono::seconds(1);
    from.evacuations_changed(5, {});
    const auto second = from.tick(now);
    ASSERT_FALSE(second.empty());
    EXPECT_EQ(second.front().message.part().evacuations_revision(), 5U);
    EXPECT_EQ(second.front().message.part().evacuated_places_size(), 0);
}

// Ticks until the node sends an attach request; returns its recipient.
host_id next_asked(subscriber& core, time_point& now, duration longest)
{
    const time_point end = now + longest;
    while (now < end)
    {
        now += std::chrono::milliseconds(50);
        for (const membership_send& each : core.tick(now).sends)
        {
            if (each.message.has_attach_request())
            {
                return each.to;
            }
        }
    }
    return {};
}

// The configured hosts may include a host that is no control host but knows
// some.
TEST(subscriber, learns_control_hosts_from_a_refusal)
{
    subscriber_settings settings;
    settings.wants.all_services = true;
    settings.publishers = {{host_id("a"), place_id("p"), region_id("r")}};
    time_point now{};
    subscriber core(settings, 1, now);
    ASSERT_EQ(next_asked(core, now, std::chrono::seconds(2)), host_id("a"));
    wire::membership_message refused;
    refused.mutable_refused()->add_control_hosts("b");
    const subscriber_output out = core.handle(now, host_id("a"), refused);
    ASSERT_TRUE(out.control_hosts);
    EXPECT_EQ(*out.control_hosts, std::vector{host_id("b")});
}

TEST(subscriber, asks_a_control_host_named_in_a_refusal_first_and_at_once)
{
    subscriber_settings settings;
    settings.wants.all_services = true;
    for (const char* name : {"a", "b", "c", "d"})
    {
        settings.publishers.push_back(
            {host_id(name), place_id("p"), region_id("r")});
    }
    time_point now{};
    subscriber core(settings, 1, now);
    const host_id relay = next_asked(core, now, std::chrono::seconds(2));
    const host_id control(relay == host_id("d") ? "c" : "d");
    wire::membership_message refused;
    refused.mutable_refused()->add_control_hosts(control.value());
    core.handle(now, relay, refused);
    EXPECT_EQ(next_asked(core, now, std::chrono::milliseconds(60)), control);
}

TEST(subscriber, asks_a_publisher_at_once_when_its_connection_is_back)
{
    subscriber_settings settings;
    settings.wants.all_services = true;
    settings.publishers = {{host_id("a"), place_id("p"), region_id("r")},
                           {host_id("b"), place_id("p"), region_id("r")}};
    time_point now{};
    subscriber core(settings, 1, now);
    core.connection_lost(now, host_id("a"));
    core.connection_lost(now, host_id("b"));
    EXPECT_EQ(next_asked(core, now, std::chrono::seconds(5)), host_id());
    core.connection_made(now, host_id("b"));
    EXPECT_EQ(next_asked(core, now, std::chrono::milliseconds(60)),
              host_id("b"));
}

TEST(subscriber, fails_over_at_once_when_the_connection_breaks)
{
    subscriber_settings settings;
    settings.wants.all_services = true;
    for (const char* name : {"a", "b", "c"})
    {
        settings.publishers.push_back(
            {host_id(name), place_id("p"), region_id("r")});
    }
    time_point now{};
    subscriber core(settings, 1, now);
    const host_id first = next_asked(core, now, std::chrono::seconds(2));
    ASSERT_NE(first, host_id());
    const host_id other(first == host_id("a") ? "b" : "a");

    core.connection_lost(now, other);
    EXPECT_EQ(core.source(), first);
    core.connection_lost(now, first);
    const host_id second = core.source();
    EXPECT_NE(second, first);
    // The connection to the next one is refused as well, before it was asked.
    core.connection_lost(now, second);
    const host_id third = next_asked(core, now, std::chrono::seconds(1));
    EXPECT_NE(third, first);
    EXPECT_NE(third, second);
    EXPECT_NE(third, host_id());
}

} // namespace

TEST_F(subscriber_stream, ignores_an_older_record)
{
    wire::stream_part older = part(2, 5);
    add_member(older, 6, 1);
    take(older);
    EXPECT_EQ(m_core.view(service_id(1))->members[0].state,
              upstream_state::ready);
}

TEST_F(subscriber_stream, gone_record_returns_only_with_a_newer_version)
{
    wire::stream_part gone = part(2, 5);
    add_member(gone, 8, 2);
    take(gone);
    EXPECT_EQ(members(), 0U);
    wire::stream_part same = part(3, 5);
    add_member(same, 8, 0);
    take(same);
    EXPECT_EQ(members(), 0U);
    wire::stream_part next = part(4, 5);
    add_member(next, 9, 0);
    take(next);
    EXPECT_EQ(members(), 1U);
}

// An upstream that is cut off keeps its flows, so it must stay in the view for
// other hosts to find them there.
TEST_F(subscriber_stream, record_with_expired_lease_is_silent_not_gone)
{
    const auto state = [this]
    {
        return m_core.view(service_id(1))->members.at(0).state;
    };
    wire::stream_part expired = part(2, 5);
    add_member(expired, 7, 2);
    take(expired);
    ASSERT_EQ(members(), 1U);
    EXPECT_EQ(state(), upstream_state::silent);
    EXPECT_NE(m_core.view(service_id(1))->members[0].agent, endpoint());
    wire::stream_part same = part(3, 5);
    add_member(same, 7, 0);
    take(same);
    EXPECT_EQ(state(), upstream_state::silent);
    wire::stream_part back = part(4, 5);
    add_member(back, 8, 0);
    take(back);
    EXPECT_EQ(state(), upstream_state::ready);
    // An announced end removes it.
    wire::stream_part ended = part(5, 5);
    add_member(ended, 9, 2);
    take(ended);
    EXPECT_EQ(members(), 0U);
}

// Absence from snapshots is no announced end, so the flows of the upstream may
// continue.
TEST_F(subscriber_stream, record_absent_from_snapshots_is_silent_not_gone)
{
    const auto take_snapshot_without_member = [this]
    {
        take(part(9, 5));
        attach();
        wire::stream_part whole = part(1, 5);
        add_service(whole, 4);
        for (std::uint32_t bucket = 0;
             bucket < internal::digest_table::bucket_count; ++bucket)
        {
            whole.add_covered(bucket);
        }
        whole.set_snapshot_end(true);
        take(whole);
    };
    take_snapshot_without_member();
    ASSERT_EQ(members(), 1U);
    EXPECT_EQ(m_core.view(service_id(1))->members[0].state,
              upstream_state::ready);
    m_now += std::chrono::seconds(30);
    take_snapshot_without_member();
    ASSERT_EQ(members(), 1U);
    EXPECT_EQ(m_core.view(service_id(1))->members[0].state,
              upstream_state::silent);
    wire::stream_part back = part(2, 5);
    add_member(back, 7, 0);
    take(back);
    EXPECT_EQ(m_core.view(service_id(1))->members.at(0).state,
              upstream_state::ready);
}

TEST_F(subscriber_stream, ignores_an_older_declaration)
{
    wire::stream_part newer = part(2, 7);
    add_service(newer, 70);
    newer.set_declarations_complete(true);
    take(newer);
    EXPECT_EQ(slots(), 70U);
    // Version 7 is not complete here, so only the version of the declaration
    // shows that version 6 is older.
    EXPECT_EQ(m_core.applied_version(), config_version(5));
    wire::stream_part older = part(3, 6);
    add_service(older, 60);
    older.set_declarations_complete(true);
    take(older);
    EXPECT_EQ(slots(), 70U);
}

// Guards against a version that is in force in part.
TEST_F(subscriber_stream, shows_a_declaration_when_its_version_is_complete)
{
    wire::stream_part begun = part(2, 7);
    add_service(begun, 70);
    EXPECT_TRUE(take(begun).changed.empty());
    EXPECT_EQ(slots(), 4U);
    wire::stream_part rest = part(3, 7);
    rest.set_declarations_complete(true);
    EXPECT_EQ(take(rest).changed.size(), 1U);
    EXPECT_EQ(slots(), 70U);
}

// Guards against an end of one stream that completes what another one began.
TEST_F(subscriber_stream, forgets_a_version_whose_stream_breaks)
{
    wire::stream_part begun = part(2, 7);
    add_service(begun, 70);
    take(begun);
    take(part(9, 7));
    attach();
    wire::stream_part other = part(1, 6);
    other.set_document_complete(true);
    take(other);
    EXPECT_EQ(slots(), 4U);
    EXPECT_EQ(m_core.applied_version(), config_version(6));
}

// Guards against records that wait for a version: a member that leaves must get
// no flows.
TEST_F(subscriber_stream, takes_members_while_a_version_is_incomplete)
{
    wire::stream_part begun = part(2, 7);
    add_service(begun, 70);
    add_member(begun, 8, 2);
    take(begun);
    EXPECT_EQ(members(), 0U);
    EXPECT_EQ(slots(), 4U);
}

TEST_F(subscriber_stream, attaches_again_after_a_gap_in_the_sequence)
{
    wire::stream_part late = part(3, 8);
    late.set_document_complete(true);
    take(late);
    EXPECT_EQ(m_core.applied_version(), config_version(5));
    attach();
    wire::stream_part whole = part(1, 8);
    add_service(whole, 80);
    whole.set_document_complete(true);
    take(whole);
    EXPECT_EQ(m_core.applied_version(), config_version(8));
    EXPECT_EQ(slots(), 80U);
}

TEST_F(subscriber_stream, view_is_reported_only_with_complete_members)
{
    wire::stream_part begun = part(2, 5);
    add_member(begun, 8, 1);
    begun.set_filling(1);
    wire::membership_message message;
    *message.mutable_part() = begun;
    EXPECT_TRUE(m_core.handle(m_now, host_id("c"), message).changed.empty());
    *message.mutable_part() = part(3, 5);
    EXPECT_EQ(m_core.handle(m_now, host_id("c"), message).changed.size(), 1U);
}

TEST_F(subscriber_stream, ignores_parts_from_an_unknown_sender)
{
    wire::membership_message message;
    *message.mutable_part() = part(2, 9);
    message.mutable_part()->set_document_complete(true);
    m_core.handle(m_now, host_id("x"), message);
    EXPECT_EQ(m_core.applied_version(), config_version(5));
}

} // namespace crowlink::test
