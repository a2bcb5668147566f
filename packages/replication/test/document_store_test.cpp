#include "crowlink/replication/document_store.hpp"
#include "crowlink/replication/message_codec.hpp"

#include <gtest/gtest.h>

namespace crowlink::replication
{

namespace
{

document_change change(std::uint64_t base, const std::string& operation,
                       const std::string& document = "{}")
{
    return document_change{config_version(base), operation_id(operation),
                           "maria", document};
}

TEST(document_store, applies_only_changes_based_on_the_current_version)
{
    document_store store;
    EXPECT_EQ(store.apply(change(0, "a")).result, change_result::applied);
    const change_outcome lost = store.apply(change(0, "b"));
    EXPECT_EQ(lost.result, change_result::conflict);
    EXPECT_EQ(lost.version, config_version(1));
    EXPECT_EQ(store.apply(change(1, "c")).version, config_version(2));
    EXPECT_EQ(store.find(config_version(1))->operation, operation_id("a"));
}

document_change given(std::uint64_t version, const std::string& document)
{
    document_change made = change(0, "given", document);
    made.given = config_version(version);
    return made;
}

TEST(document_store, the_highest_explicit_version_is_in_force)
{
    document_store store;
    EXPECT_EQ(store.apply(given(7, "seven")).version, config_version(7));
    const change_outcome older = store.apply(given(4, "four"));
    EXPECT_EQ(older.result, change_result::superseded);
    EXPECT_EQ(older.version, config_version(7));
    EXPECT_EQ(store.apply(given(12, "twelve")).result, change_result::applied);
    EXPECT_EQ(store.current()->document, "twelve");
    EXPECT_EQ(store.current_version(), config_version(12));
}

TEST(document_store,
     a_repeated_explicit_version_with_other_content_has_no_effect)
{
    document_store store;
    store.apply(given(7, "seven"));
    EXPECT_EQ(store.apply(given(7, "other")).result, change_result::superseded);
    EXPECT_EQ(store.current()->document, "seven");
}

TEST(document_store, keeps_the_operator_of_a_version_whose_document_was_dropped)
{
    store_limits tight;
    tight.history_bytes = 2500;
    document_store store(tight);
    for (std::uint64_t base = 0; base < 4; ++base)
    {
        store.apply(
            change(base, "op" + std::to_string(base), std::string(1000, 'x')));
    }
    EXPECT_EQ(store.find(config_version(2)), nullptr);
    EXPECT_NE(store.find(config_version(3)), nullptr);
    ASSERT_EQ(store.history().size(), 4U);
    EXPECT_EQ(store.history().front().operation, operation_id("op0"));
    EXPECT_EQ(store.history().front().operator_name, "maria");
    EXPECT_EQ(store.current()->document.size(), 1000U);
}

TEST(document_store, a_snapshot_with_more_history_is_trimmed_to_the_local_limit)
{
    document_store generous;
    for (std::uint64_t version = 1; version <= 4; ++version)
    {
        generous.apply(given(version, std::string(1000, 'x')));
    }
    store_limits tight;
    tight.history_bytes = 2500;
    document_store store(tight);
    ASSERT_TRUE(store.load(generous.save()));
    EXPECT_EQ(store.find(config_version(2)), nullptr);
    EXPECT_NE(store.find(config_version(3)), nullptr);
    EXPECT_EQ(store.history().size(), 4U);
    EXPECT_EQ(store.current_version(), config_version(4));
}

TEST(document_store, explicit_versions_survive_a_snapshot)
{
    document_store store;
    store.apply(given(7, "seven"));
    store.apply(given(30, "thirty"));
    document_store other;
    ASSERT_TRUE(other.load(store.save()));
    EXPECT_EQ(other.current_version(), config_version(30));
    EXPECT_EQ(other.apply(given(29, "late")).result, change_result::superseded);
}

TEST(document_store, a_repeated_operation_gets_its_first_answer)
{
    document_store store;
    const change_outcome first = store.apply(change(0, "a"));
    const change_outcome lost = store.apply(change(0, "b"));
    store.apply(change(1, "c"));
    EXPECT_EQ(store.apply(change(0, "a")), first);
    EXPECT_EQ(store.apply(change(0, "b")), lost);
    EXPECT_EQ(store.apply(change(0, "a", "{1}")).result,
              change_result::operation_reused);
    EXPECT_EQ(store.current_version(), config_version(2));
}

TEST(document_store, bounds_the_kept_answers_and_never_applies_a_change_twice)
{
    store_limits limits;
    limits.history_versions = 3;
    limits.remembered_answers = 4;
    document_store store(limits);
    for (std::uint64_t i = 0; i < 20; ++i)
    {
        store.apply(change(i, "op" + std::to_string(i)));
    }
    EXPECT_EQ(store.history().size(), 3U);
    EXPECT_EQ(store.find(config_version(17)), nullptr);
    EXPECT_TRUE(store.find_answer(change(16, "op16")));
    EXPECT_FALSE(store.find_answer(change(15, "op15")));
    EXPECT_EQ(store.apply(change(15, "op15")).result, change_result::conflict);
    EXPECT_EQ(store.current_version(), config_version(20));
}

TEST(document_store, a_snapshot_restores_the_whole_state)
{
    document_store store;
    const change_outcome first = store.apply(change(0, "a"));
    store.apply(change(0, "b"));
    document_store copy;
    ASSERT_TRUE(copy.load(store.save()));
    EXPECT_EQ(copy.history(), store.history());
    EXPECT_EQ(copy.apply(change(0, "a")), first);
    EXPECT_EQ(copy.save(), store.save());
    EXPECT_FALSE(copy.load("no snapshot"));
}

TEST(message_codec, decodes_every_message_that_it_encoded)
{
    const membership members(
        {member{host_id("a"), disk_id(1), member_role::voter},
         member{host_id("b"), disk_id(2), member_role::joining}});
    const log_entry entry{4, 2, entry_kind::payload, std::string("\0x", 2)};
    const std::vector<message_body> bodies{
        hello{true, true},
        vote_request{true, 3, 2, 5},
        vote_reply{true, true, 5},
        append_request{3, 2, 1, {entry, entry}, -9},
        append_reply{true, 3, 4, 77},
        snapshot_chunk{9, 2, members, 10, 20, "bytes", 3},
        snapshot_reply{9, 10, 3},
        forwarded_change{1, change(7, "op")},
        forwarded_answer{
            1, operation_id("op"),
            change_outcome{change_result::conflict, config_version(8), "late"}},
        founding_request{founding_phase::accept,
                         founding_ballot{2, host_id("a"), 9}, members},
        founding_reply{founding_phase::accept,
                       founding_ballot{2, host_id("a"), 9},
                       founding_ballot{3, host_id("b"), 8},
                       founding_ballot{1, host_id("c"), 7}, members}};
    for (const message_body& body : bodies)
    {
        const replica_message message{
            host_id("a"), disk_id(1), host_id("b"), disk_id(2), 3, 4, body};
        const auto decoded = decode_message(encode_message(message));
        ASSERT_TRUE(decoded);
        EXPECT_EQ(*decoded, message);
    }
    EXPECT_FALSE(decode_message("nonsense"));
    EXPECT_FALSE(decode_message(""));
}

} // namespace

} // namespace crowlink::replication
