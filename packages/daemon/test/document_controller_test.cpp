#include "control/document_controller.hpp"

#include <filesystem>
#include <gtest/gtest.h>

namespace crowlink::internal
{

namespace
{

using namespace replication;

const host_id own("127.0.0.1");
const host_id peer("127.0.0.5");
constexpr std::uint64_t cluster = 9;

// A data folder whose log names two voters.
class founded_folder : public testing::Test
{
protected:
    founded_folder()
    {
        std::string pattern =
            (std::filesystem::temp_directory_path() / "crowlink.XXXXXX")
                .string();
        m_folder = mkdtemp(pattern.data());
        const auto storage = storage_thread::open(m_folder, disk_id(1), m_wake);
        const disk_id disk = (*storage)->take_restored().disk;
        persist_request wanted;
        wanted.sequence = 1;
        wanted.state = hard_state{3, own, 1, cluster, own};
        wanted.new_snapshot =
            snapshot{1, 2,
                     membership({{own, disk, member_role::voter},
                                 {peer, disk_id(5), member_role::voter}}),
                     cluster, std::make_shared<const std::string>()};
        (*storage)->write(std::move(wanted));
        while (!(*storage)->next())
        {
            std::this_thread::yield();
        }
    }

    ~founded_folder() override { std::filesystem::remove_all(m_folder); }

    daemon_settings settings() const
    {
        daemon_settings made;
        made.host = host_settings{own, place_id("p"), region_id("r")};
        made.is_network_trusted = true;
        made.seeds = seed_settings{};
        made.control.emplace();
        made.control->data_folder = m_folder;
        made.control->peer_listen = *endpoint::parse("127.0.0.1:0");
        made.control->node_listen = *endpoint::parse("127.0.0.1:0");
        return made;
    }

    wake_event m_wake;
    std::string m_folder;
};

// What is sent to a peer that is not reached is lost, and the first message of
// a former leader goes out with the first tick.
TEST_F(founded_folder, members_are_reached_before_the_first_message_to_them)
{
    const daemon_settings own_settings = settings();
    zmq::context_t zmq;
    log_sink log{stdout, log_format::key_value, log_level::error, 16};
    const auto links =
        control_links::open(zmq, own_settings, identity(), nullptr);
    ASSERT_TRUE(links) << to_string(links.error());
    const auto storage = storage_thread::open(m_folder, disk_id(2), m_wake);
    ASSERT_TRUE(storage) << to_string(storage.error());
    document_controller core(own_settings, **storage, **links, log,
                             seeded_random(1), time_point());
    blackboard board;
    core.start(time_point(), board);
    EXPECT_TRUE((*links)->is_peer(peer));
    EXPECT_FALSE((*links)->is_peer(own));
}

} // namespace

} // namespace crowlink::internal
