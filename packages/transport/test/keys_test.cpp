#include "crowlink/transport/key_file.hpp"

#include <cstdlib>
#include <filesystem>
#include <gtest/gtest.h>
#include <sys/stat.h>

namespace crowlink
{
namespace
{

class key_files : public testing::Test
{
protected:
    key_files()
    {
        std::string pattern = testing::TempDir() + "crowlink_keys_XXXXXX";
        m_folder = mkdtemp(pattern.data());
    }
    ~key_files() override { std::filesystem::remove_all(m_folder); }

    std::string file(const char* name) const { return m_folder + "/" + name; }

private:
    std::string m_folder;
};

TEST_F(key_files, give_back_what_was_written)
{
    const auto pair = curve_key_pair::generate();
    ASSERT_TRUE(pair);
    ASSERT_TRUE(write_key_file(file("a"), *pair));
    const auto back = read_curve_key_file(file("a"));
    ASSERT_TRUE(back) << to_string(back.error());
    EXPECT_EQ(*back, *pair);

    const packet_key key = packet_key::generate(3);
    ASSERT_TRUE(write_key_file(file("p"), key));
    EXPECT_EQ(*read_packet_key_file(file("p")), key);
}

TEST_F(key_files, are_never_replaced)
{
    ASSERT_TRUE(write_key_file(file("a"), packet_key::generate(1)));
    EXPECT_FALSE(write_key_file(file("a"), packet_key::generate(2)));
    EXPECT_EQ(read_packet_key_file(file("a"))->number, 1);
}

TEST_F(key_files, that_others_may_read_are_refused)
{
    ASSERT_TRUE(write_key_file(file("a"), *curve_key_pair::generate()));
    ASSERT_EQ(::chmod(file("a").c_str(), 0640), 0);
    const auto found = read_curve_key_file(file("a"));
    ASSERT_FALSE(found);
    EXPECT_EQ(found.error().kind, error_kind::forbidden);
    EXPECT_NE(found.error().message.find("0640"), std::string::npos);
}

TEST_F(key_files, with_a_foreign_public_key_are_refused)
{
    curve_key_pair pair = *curve_key_pair::generate();
    pair.public_key = curve_key_pair::generate()->public_key;
    ASSERT_TRUE(write_key_file(file("a"), pair));
    EXPECT_FALSE(read_curve_key_file(file("a")));
}

} // namespace
} // namespace crowlink
