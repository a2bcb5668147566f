#include "crowlink/forwarding/candidate.hpp"

#include <gtest/gtest.h>
#include <set>
#include <string>

namespace crowlink::test
{

// Names and incarnations that differ in few bits, as within one deployment.
TEST(tag, differs_for_similar_names_and_incarnations)
{
    std::set<upstream_tag> tags;
    for (std::uint64_t name = 0; name < 16; ++name)
    {
        for (std::uint64_t started = 0; started < 16; ++started)
        {
            tags.insert(tag_of(upstream_id("u" + std::to_string(name)),
                               incarnation(started)));
        }
    }
    EXPECT_EQ(tags.size(), 256U);
}

} // namespace crowlink::test
