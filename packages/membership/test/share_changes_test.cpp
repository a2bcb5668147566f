#include "one_node.hpp"
#include "share_merge.hpp"

// What nodes are sent of routes that change. The naive version is a document
// that is compared as a whole.
namespace crowlink::test
{

namespace
{

// Guards against versions that are late at nodes because each change of one
// route sends all routes of its service.
TEST_F(one_node, is_sent_the_changed_route_and_not_all_of_them)
{
    system_document document = document_of(9000);
    m_settings.bytes_per_second = 64 * 1024;
    m_settings.burst_bytes = 64 * 1024;
    start(1);
    change(document);
    run(std::chrono::seconds(20));
    ASSERT_TRUE(shows(document));
    m_bytes = 0;
    m_declarations = 0;
    document.routes.push_back(route_at(9001, bibliotheque));
    document.routes.erase(document.routes.begin() + 100);
    change(document);
    step();
    EXPECT_TRUE(shows(document));
    EXPECT_EQ(m_node->applied_version(), config_version(m_version));
    EXPECT_EQ(m_declarations, 0);
    EXPECT_LT(m_bytes, 1000U);
}

// Guards against a dropped route that runs on while the changed time-outs of
// many others are on their way.
TEST_F(one_node, learns_of_dropped_routes_before_changed_terms)
{
    system_document document = document_of(2000);
    start(1);
    change(document);
    run(std::chrono::seconds(60));
    ASSERT_TRUE(shows(document));
    const route dropped = document.routes[1500];
    document.routes.erase(document.routes.begin() + 1500);
    for (route& each : document.routes)
    {
        each.terms.timeout += std::chrono::milliseconds(1);
    }
    change(document);
    step();
    EXPECT_FALSE(serves(dropped, registre));
    EXPECT_EQ(m_node->applied_version(), config_version(m_version));
    EXPECT_FALSE(shows(document));
    run(std::chrono::seconds(60));
    EXPECT_TRUE(shows(document));
    EXPECT_EQ(m_node->reattachments(), 0U);
}

// The pace bounds how many terms arrive, but not that of the last version all
// do.
TEST_F(one_node, gets_all_terms_though_they_change_faster_than_they_are_sent)
{
    system_document document = document_of(1000);
    start(1);
    change(document);
    run(std::chrono::seconds(30));
    for (int round = 0; round < 12; ++round)
    {
        for (route& each : document.routes)
        {
            each.terms.timeout += std::chrono::milliseconds(1);
        }
        change(document);
        run(std::chrono::milliseconds(300));
    }
    run(std::chrono::seconds(30));
    EXPECT_TRUE(shows(document));
    EXPECT_EQ(m_node->reattachments(), 0U);
}

TEST_F(one_node, of_an_earlier_release_is_sent_whole_declarations)
{
    m_is_older_release = true;
    system_document document = document_of(10);
    start(1);
    change(document);
    run(std::chrono::seconds(10));
    m_declarations = 0;
    document.routes.pop_back();
    change(document);
    run(std::chrono::seconds(2));
    EXPECT_TRUE(shows(document));
    EXPECT_EQ(m_declarations, 1);
}

// Guards against a share of a version in between: the next publisher's changes
// refer to a document that this node does not hold.
TEST_F(one_node, asks_for_the_declaration_when_changes_refer_to_an_older_one)
{
    system_document first = document_of(10);
    start(2);
    change(first);
    run(std::chrono::seconds(10));
    const host_id leader = m_node->source();
    const host_id other(leader.value() == "c0" ? "c1" : "c0");
    // The other one never has the version in which a route is away.
    system_document second = first;
    const route away = second.routes.front();
    second.routes.erase(second.routes.begin());
    ++m_version;
    m_publishers.at(leader).document_changed(config_version(m_version), second);
    run(std::chrono::seconds(1));
    ASSERT_FALSE(serves(away, registre));
    m_node->connection_lost(m_now, leader);
    run(std::chrono::seconds(2));
    ASSERT_EQ(m_node->source(), other);
    system_document third = first;
    third.routes.push_back(route_at(50, registre));
    ++m_version;
    m_publishers.at(other).document_changed(config_version(m_version), third);
    run(std::chrono::milliseconds(1500));
    EXPECT_TRUE(serves(away, registre));
    EXPECT_TRUE(shows(third));
}

// Publishers skip versions and lag behind each other, and the node changes
// between them. What it holds of a version that it calls complete must be that
// version, but for terms.
class drawn_histories : public one_node
{
protected:
    void play_all(std::uint64_t first, std::uint64_t last)
    {
        for (std::uint64_t seed = first; seed <= last && !HasFailure(); ++seed)
        {
            play(seed);
        }
    }

    void play(std::uint64_t seed)
    {
        seeded_random random(seed);
        const auto draw = [&random](std::size_t most)
        {
            return std::uniform_int_distribution<std::size_t>(0, most)(random);
        };
        m_publishers.clear();
        m_views.clear();
        m_version = 0;
        m_settings.bytes_per_second = draw(1) == 0 ? 512 : 8192;
        start(3);
        std::map<std::uint64_t, system_document> versions{{0, document_of(20)}};
        change(versions.at(0));
        versions[m_version] = versions.at(0);
        for (int round = 0; round < 60; ++round)
        {
            const std::uint64_t next = m_version + 1;
            versions[next] = drawn_change(versions.at(m_version), random);
            m_version = next;
            for (auto& [name, from] : m_publishers)
            {
                if (draw(2) > 0)
                {
                    from.document_changed(config_version(m_version),
                                          versions.at(m_version));
                }
            }
            if (draw(9) == 0)
            {
                const host_id left = m_node->source();
                m_node->connection_lost(m_now, left);
                m_node->connection_made(m_now, left);
            }
            for (std::size_t steps = draw(12); steps > 0; --steps)
            {
                step();
                check_addresses(versions);
            }
        }
        const system_document last = versions.at(m_version);
        change(last);
        run(std::chrono::seconds(60));
        EXPECT_TRUE(shows(last)) << "seed " << seed;
    }

    void
    check_addresses(const std::map<std::uint64_t, system_document>& versions)
    {
        const std::uint64_t held = m_node->applied_version().value();
        if (held == 0 || !m_node->attached())
        {
            return;
        }
        // A later version may be there in part; addresses that neither it nor
        // any version between has changed must be as the complete one has them.
        for (const service& wanted : with_shares(versions.at(held)))
        {
            for (const address_share& share : wanted.shares)
            {
                if (is_unchanged(versions, held, wanted.id, share))
                {
                    EXPECT_TRUE(holds(wanted.id, share)) << "version " << held;
                }
            }
        }
    }

    static bool has_share(const system_document& document, service_id id,
                          const address_share& share)
    {
        for (const service& each : with_shares(document))
        {
            for (const address_share& held : each.shares)
            {
                if (each.id == id && held.address == share.address &&
                    held.weight == share.weight)
                {
                    return true;
                }
            }
        }
        return false;
    }

    static bool
    is_unchanged(const std::map<std::uint64_t, system_document>& versions,
                 std::uint64_t from, service_id id, const address_share& share)
    {
        for (auto each = versions.find(from); each != versions.end(); ++each)
        {
            if (!has_share(each->second, id, share))
            {
                return false;
            }
        }
        return true;
    }

    bool holds(service_id id, const address_share& wanted) const
    {
        const auto view = m_node->view(id);
        return view && std::any_of(view->declared.shares.begin(),
                                   view->declared.shares.end(),
                                   [&wanted](const address_share& each) {
                                       return each.address == wanted.address &&
                                              each.weight == wanted.weight;
                                   });
    }
};

TEST_F(drawn_histories, end_with_the_document_at_the_node)
{
    play_all(1, 50);
}

TEST_F(drawn_histories, end_with_the_document_at_the_node_again)
{
    play_all(51, 100);
}

TEST(publication, tells_what_differs_from_the_one_before)
{
    const system_document first = document_of(4);
    system_document second = first;
    second.routes.erase(second.routes.begin());
    second.routes[0].terms.priority = 7;
    second.routes[1].shares = {route_share{service_id(registre), 3}};
    const auto before = make_publication(config_version(1), first, nullptr);
    const auto after =
        make_publication(config_version(4), second, before.get());
    EXPECT_EQ(after->base, config_version(1));
    EXPECT_EQ(after->changed, std::vector<service_id>{service_id(registre)});
    const std::vector<share_key> expected{
        {service_id(registre), first.routes[0].address},
        {service_id(registre), first.routes[2].address}};
    EXPECT_EQ(after->changed_shares, expected);
    EXPECT_EQ(after->terms_version, 4U);
    const std::vector<std::uint64_t> terms{4, 0, 0};
    EXPECT_EQ(after->services.at(service_id(registre))->terms_changed, terms);
}

TEST(share_merge, applies_the_last_update_of_an_address)
{
    const endpoint one = route_at(1, registre).address;
    const endpoint two = route_at(2, registre).address;
    const endpoint three = route_at(3, registre).address;
    const std::vector<address_share> held{{one, 1}, {three, 1}};
    const auto merged = internal::merge_shares(
        held, {{{two, 5}, false}, {{three, 9}, false}, {{three, 0}, true}});
    const std::vector<address_share> expected{{one, 1}, {two, 5}};
    EXPECT_EQ(merged, expected);
}

// Guards against a version whose size grows with what earlier ones moved: nodes
// forget former services when there is time, like changed terms.
TEST(publication, tells_new_former_services_with_the_version)
{
    const system_document document = document_of(2);
    const auto& routes = document.routes;
    const std::vector<former_service> moved{
        {routes[0].address, transport::udp, service_id(bibliotheque)}};
    const auto before = make_publication(config_version(1), document, nullptr);
    const auto told =
        make_publication(config_version(2), document, before.get(), moved);
    ASSERT_EQ(told->changed_shares.size(), 1U);
    EXPECT_EQ(told->changed_shares[0].address, routes[0].address);
    EXPECT_EQ(told->terms_version, 0U);
    const auto forgotten =
        make_publication(config_version(3), document, told.get());
    EXPECT_TRUE(forgotten->changed_shares.empty());
    EXPECT_EQ(forgotten->terms_version, 3U);
}

TEST(share_merge, changes_terms_of_known_shares_in_place)
{
    const endpoint one = route_at(1, registre).address;
    const endpoint two = route_at(2, registre).address;
    const route_terms terms{request_class::download};
    std::vector<address_share> held{{one, 1}};
    EXPECT_TRUE(internal::update_terms(held, {{{one, 1, terms}, false}}));
    EXPECT_EQ(held, (std::vector<address_share>{{one, 1, terms}}));
    const std::vector<address_share> before = held;
    EXPECT_FALSE(internal::update_terms(held, {{{one, 2}, false}}));
    EXPECT_FALSE(internal::update_terms(held, {{{one, 1}, true}}));
    EXPECT_FALSE(
        internal::update_terms(held, {{{one, 1}, false}, {{two, 1}, false}}));
    EXPECT_EQ(held, before);
}

} // namespace

} // namespace crowlink::test
