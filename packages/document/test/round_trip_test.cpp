#include "sample_documents.hpp"

#include <gtest/gtest.h>

namespace crowlink
{
namespace
{

TEST(round_trip, a_written_document_is_read_back_unchanged)
{
    seeded_random random(1);
    for (int round = 0; round < 300; ++round)
    {
        const auto document = random_document(random);
        const auto text = write_document(document);
        const auto again = read_document(text);
        ASSERT_TRUE(again) << text << again.error().to_text();
        EXPECT_EQ(*again, document) << text;
        EXPECT_EQ(write_document(*again), text);
        EXPECT_EQ(read_document(write_compact_document(document)), again);
    }
}

TEST(round_trip, the_order_of_lists_is_ignored)
{
    const auto document = read_document(full_document);
    ASSERT_TRUE(document);
    auto shuffled = *document;
    std::swap(shuffled.services[0], shuffled.services[1]);
    std::swap(shuffled.places[0], shuffled.places[2]);
    EXPECT_EQ(write_document(shuffled), write_document(*document));
}

TEST(round_trip, fields_are_written_in_canonical_order)
{
    const auto text = write_compact_document(system_document{
        {{place_id("p"), region_id("r")}}, {}, {upstream_id("u")}});
    EXPECT_EQ(text, R"({"regions":[{"name":"r","places":["p"]}],)"
                    R"("services":[],"routes":[],"drains":["u"]})");
}

} // namespace
} // namespace crowlink
