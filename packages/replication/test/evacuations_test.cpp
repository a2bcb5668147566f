#include "crowlink/replication/evacuations.hpp"

#include "crowlink/replication/document_store.hpp"
#include "scenario.hpp"

#include <gtest/gtest.h>

namespace crowlink::replication
{

namespace
{

evacuation_change order(const char* where, bool evacuates, std::uint64_t base)
{
    return evacuation_change{place_id(where), evacuates, base, "anna", 1000};
}

change_result result_of(const change_outcome* answer)
{
    return answer == nullptr ? change_result::unavailable : answer->result;
}

TEST(evacuations, an_evacuation_is_in_force_until_an_order_ends_it)
{
    evacuations state;
    EXPECT_EQ(state.apply(order("north", true, 0)).result,
              change_result::applied);
    ASSERT_EQ(state.in_force().count(place_id("north")), 1U);
    EXPECT_EQ(state.in_force().at(place_id("north")),
              (evacuation{"anna", 1000}));
    EXPECT_EQ(state.apply(order("north", false, 1)).result,
              change_result::applied);
    EXPECT_TRUE(state.in_force().empty());
}

TEST(evacuations, a_retry_is_acknowledged_and_has_no_effect)
{
    evacuations state;
    state.apply(order("north", true, 0));
    const evacuation_change again{place_id("north"), true, 0, "bert", 2000};
    EXPECT_EQ(state.apply(again).result, change_result::superseded);
    EXPECT_EQ(state.in_force().at(place_id("north")).operator_name, "anna");
}

TEST(evacuations, an_order_with_an_outdated_revision_is_a_conflict)
{
    evacuations state;
    state.apply(order("north", true, 0));
    state.apply(order("north", false, 1));
    EXPECT_EQ(state.apply(order("north", true, 0)).result,
              change_result::conflict);
    EXPECT_TRUE(state.in_force().empty());
}

TEST(evacuations, an_older_order_does_not_undo_a_state_that_a_retry_confirmed)
{
    evacuations state;
    state.apply(order("north", true, 0));
    // Accepted now, but proposed after a retry of the other order was
    // acknowledged.
    const evacuation_change late = order("north", false, state.revision());
    state.apply(order("north", true, state.revision()));
    EXPECT_EQ(state.apply(late).result, change_result::conflict);
    EXPECT_EQ(state.in_force().size(), 1U);
}

TEST(evacuations, a_snapshot_holds_evacuations_and_document)
{
    document_store documents;
    document_change change;
    change.operation = operation_id("first");
    change.document = "a document";
    documents.apply(change);
    evacuations state;
    state.apply(order("north", true, 0));
    state.apply(order("south", true, 1));
    const std::string bytes = documents.save() + state.save();

    document_store documents_after;
    evacuations state_after;
    ASSERT_TRUE(documents_after.load(bytes));
    ASSERT_TRUE(state_after.load(bytes));
    EXPECT_EQ(documents_after.current()->document, "a document");
    EXPECT_EQ(state_after.in_force(), state.in_force());
    EXPECT_EQ(state_after.revision(), 2U);
}

TEST(evacuations, new_documents_do_not_change_evacuations)
{
    fake_cluster cluster(3, 0, 1);
    const std::size_t leader = wait_for_leader(cluster);
    const auto given = cluster.issue_order(leader, true);
    cluster.run(100);
    make_versions(cluster, 20, "a");
    EXPECT_EQ(result_of(cluster.order_answer(given.value())),
              change_result::applied);
    for (std::size_t host = 0; host < cluster.size(); ++host)
    {
        EXPECT_TRUE(cluster.evacuated(host));
    }
}

TEST(evacuations, survive_a_power_failure_of_all_hosts_and_a_lost_disk)
{
    for (std::uint64_t seed = 0; seed < 20; ++seed)
    {
        fake_cluster cluster(3, 0, seed);
        const auto given = cluster.issue_order(wait_for_leader(cluster), true);
        ASSERT_TRUE(cluster.run_until(
            [&] { return cluster.order_answer(given.value()) != nullptr; }));
        for (std::size_t host = 0; host < cluster.size(); ++host)
        {
            cluster.crash(host);
        }
        cluster.lose_disk(seed % cluster.size());
        for (std::size_t host = 0; host < cluster.size(); ++host)
        {
            cluster.restart(host);
        }
        const std::size_t leader = wait_for_leader(cluster);
        EXPECT_TRUE(cluster.evacuated(leader)) << "seed " << seed;
        EXPECT_EQ(cluster.violation(), "");
    }
}

TEST(evacuations, only_the_leader_accepts_an_order)
{
    fake_cluster cluster(3, 0, 1);
    const std::size_t leader = wait_for_leader(cluster);
    const std::size_t other = (leader + 1) % cluster.size();
    EXPECT_FALSE(cluster.prepare_order(other, true));
    const auto taken = cluster.prepare_order(leader, true);
    cluster.propose_order(other, taken.value());
    EXPECT_EQ(result_of(cluster.order_answer(taken.value())),
              change_result::unavailable);
    cluster.run(100);
    EXPECT_FALSE(cluster.evacuated(leader));
}

} // namespace

} // namespace crowlink::replication
