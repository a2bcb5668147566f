#include "crowlink/base/shared_text.hpp"

#include <gtest/gtest.h>
#include <vector>

namespace crowlink
{

namespace
{

TEST(shared_text, compares_by_content)
{
    const shared_text one = "text";
    const shared_text same = std::string("text");
    EXPECT_EQ(one, same);
    EXPECT_LT(one, shared_text("texts"));
    EXPECT_EQ(shared_text(), shared_text(""));
}

// Guards against copies of large documents: copies of the value share it.
TEST(shared_text, is_shared_by_its_copies)
{
    const shared_text one = "text";
    const std::vector<shared_text> copies(2, one);
    EXPECT_EQ(&one.str(), &copies[0].str());
    EXPECT_EQ(&one.str(), &copies[1].str());
}

} // namespace

} // namespace crowlink
