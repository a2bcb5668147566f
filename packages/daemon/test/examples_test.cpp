#include "crowlink/document/document_reader.hpp"
#include "crowlink/settings.hpp"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <iterator>
#include <set>

namespace crowlink
{
namespace
{

namespace fs = std::filesystem;

const fs::path examples = fs::path(CROWLINK_SOURCE_DIR) / "examples";

std::string text_of(const fs::path& file)
{
    std::ifstream stream(file);
    return std::string(std::istreambuf_iterator<char>(stream), {});
}

system_document document_of(const fs::path& file)
{
    const checked_document read = read_document(text_of(file));
    EXPECT_TRUE(read) << file << read.error().to_text();
    return read ? *read : system_document();
}

daemon_settings settings_of(const fs::path& file)
{
    const settings_result read = load_settings(file.string());
    EXPECT_TRUE(read) << to_string(read.error().front());
    return read ? *read : daemon_settings();
}

class deployment : public testing::TestWithParam<const char*>
{
};

TEST_P(deployment, has_valid_files_that_agree_with_each_other)
{
    const fs::path folder = examples / GetParam();
    const system_document document = document_of(folder / "services.jsonc");
    const auto grants =
        key_grants::load((folder / "hosts" / "allowed-keys.jsonc").string());
    ASSERT_TRUE(grants) << to_string(grants.error().front());
    std::set<service_id> declared;
    for (const service& each : document.services)
    {
        declared.insert(each.id);
    }
    std::size_t hosts = 0;
    std::size_t agents = 0;
    for (const auto& file : fs::directory_iterator(folder / "hosts"))
    {
        if (file.path().filename() == "allowed-keys.jsonc")
        {
            continue;
        }
        ++hosts;
        const daemon_settings settings = settings_of(file.path());
        for (const agent_role_settings& agent : settings.agents)
        {
            ++agents;
            EXPECT_EQ(declared.count(agent.service), 1U) << file.path();
        }
        for (const control_endpoint& control : settings.control_endpoints)
        {
            const key_grant* grant = grants->find(control.public_key);
            ASSERT_NE(grant, nullptr);
            EXPECT_EQ(grant->holder, control.host);
            EXPECT_TRUE(grant->allows(node_role::control_node));
        }
    }
    // 3 control hosts, 3 entry hosts, 7 and 3 upstreams.
    EXPECT_EQ(hosts, 16U);
    EXPECT_EQ(agents, 10U);
    EXPECT_EQ(grants->size(), hosts);
}

INSTANTIATE_TEST_SUITE_P(examples, deployment,
                         testing::Values("foundation", "radeau"));

TEST(local_example, is_valid_and_serves_the_declared_address)
{
    const daemon_settings settings = settings_of(examples / "local.jsonc");
    const system_document document =
        document_of(examples / "local-services.jsonc");
    EXPECT_EQ(document.services.front().addresses, settings.balancer->listen);
    EXPECT_EQ(settings.agents.size(), 3U);
}

} // namespace
} // namespace crowlink
