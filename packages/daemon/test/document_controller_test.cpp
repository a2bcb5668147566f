#include "control/document_controller.hpp"
#include "crowlink/document/document_writer.hpp"

#include <filesystem>
#include <gtest/gtest.h>
#include <optional>
#include <utility>

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
        : founded_folder(
              std::vector<std::pair<host_id, disk_id>>{{peer, disk_id(5)}})
    {
    }

    // With these voters beside the own one.
    explicit founded_folder(
        const std::vector<std::pair<host_id, disk_id>>& peers)
    {
        std::string pattern =
            (std::filesystem::temp_directory_path() / "crowlink.XXXXXX")
                .string();
        m_folder = mkdtemp(pattern.data());
        const auto storage = storage_thread::open(m_folder, disk_id(1), m_wake);
        const disk_id disk = (*storage)->take_restored().disk;
        std::vector<member> voters{{own, disk, member_role::voter}};
        for (const auto& [host, its_disk] : peers)
        {
            voters.push_back(member{host, its_disk, member_role::voter});
        }
        persist_request wanted;
        wanted.sequence = 1;
        wanted.state = hard_state{3, own, 1, cluster, own};
        wanted.new_snapshot = snapshot{1, 2, membership(voters), cluster,
                                       std::make_shared<const std::string>()};
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
    document_thread reader(m_wake);
    document_controller core(own_settings, **storage, reader, **links, log,
                             seeded_random(1), time_point());
    blackboard board;
    core.start(time_point(), board);
    EXPECT_TRUE((*links)->is_peer(peer));
    EXPECT_FALSE((*links)->is_peer(own));
}

// A control host that is the only voter, and its operator.
class one_voter : public founded_folder
{
protected:
    one_voter()
        : founded_folder(std::vector<std::pair<host_id, disk_id>>())
        , m_settings(settings())
        , m_links(*control_links::open(m_zmq, m_settings, identity(), nullptr))
        , m_storage(*storage_thread::open(m_folder, disk_id(2), m_wake))
        , m_core(m_settings, *m_storage, m_reader, *m_links, m_log,
                 seeded_random(1), m_now)
    {
        m_core.start(m_now, m_board);
        run_until([this] { return m_core.core().can_read(m_now); });
    }

    // One round of the control thread after this time.
    void step(duration passed = std::chrono::milliseconds(25))
    {
        m_now += passed;
        m_core.advance(m_now, m_board);
    }

    // As much time passes as the threads of the storage and the reader take: a
    // change is answered with "unknown" if the storage is not done in time.
    template <class Condition>
    void run_until(const Condition& holds)
    {
        const steady_clock_source clock;
        time_point last = clock.now();
        while (!holds())
        {
            const time_point now = clock.now();
            step(now - std::exchange(last, now));
            std::this_thread::yield();
        }
    }

    // Returns once it is answered; it must be acknowledged.
    void send(std::uint64_t version)
    {
        system_document document;
        document.places = {{place_id("p"), region_id("r")}};
        document_change wanted;
        wanted.operation = operation_id(std::to_string(version));
        wanted.document = write_compact_document(document);
        wanted.given = config_version(version);
        std::optional<change_result> answered;
        m_core.change(
            m_now, wanted,
            [&answered](const change_outcome& got) { answered = got.result; },
            m_board);
        run_until([&answered] { return answered.has_value(); });
        EXPECT_EQ(answered, change_result::applied);
    }

    time_point m_now{std::chrono::hours(1)};
    daemon_settings m_settings;
    zmq::context_t m_zmq;
    log_sink m_log{stdout, log_format::key_value, log_level::error, 16};
    std::unique_ptr<control_links> m_links;
    std::unique_ptr<storage_thread> m_storage;
    document_thread m_reader{m_wake};
    blackboard m_board;
    document_controller m_core;
};

// Guards against leaders that are lost at each change of a large document: the
// thread that sends heartbeats must not wait until it is read.
TEST_F(one_voter, goes_on_while_a_document_is_read)
{
    document_turns::turn reading = m_reader.turns().wait();
    send(4);
    for (int round = 0; round < 400; ++round)
    {
        step();
    }
    EXPECT_EQ(m_core.core().store().current_version(), config_version(4));
    EXPECT_EQ(m_board.document.get().version, config_version());
    EXPECT_TRUE(m_core.core().can_read(m_now));
    // Nodes that start must not be given an older one meanwhile.
    EXPECT_GE(m_board.document_lag.get(), std::chrono::seconds(9));
    EXPECT_LT(m_board.document_age.get(), std::chrono::seconds(1));
    reading.unlock();
    run_until([this]
              { return m_board.document.get().version == config_version(4); });
    EXPECT_EQ(m_board.document_lag.get(), duration());
}

// Guards against nodes that leave a host in a storm of changes, as if it were
// cut off: each of its documents is read in time, and there is always a newer
// one.
TEST_F(one_voter, is_as_late_as_the_oldest_version_that_waits)
{
    document_turns::turn reading = m_reader.turns().wait();
    send(4);
    for (int round = 0; round < 40; ++round)
    {
        step();
    }
    send(7);
    EXPECT_GE(m_board.document_lag.get(), std::chrono::seconds(1));
    reading.unlock();
    const auto is_read = [this](std::uint64_t version)
    {
        return m_board.document.get().version >= config_version(version);
    };
    while (!is_read(4))
    {
        // No time passes.
        m_core.advance(m_now, m_board);
    }
    EXPECT_LT(m_board.document_lag.get(), std::chrono::milliseconds(900));
    run_until([&is_read] { return is_read(7); });
    EXPECT_EQ(m_board.document_lag.get(), duration());
}

// Guards against reads that take the version before, and against one more
// reading of the document for each caller.
TEST_F(one_voter, answers_reads_with_the_newest_document_once_it_is_read)
{
    send(4);
    run_until([this]
              { return m_board.document.get().version == config_version(4); });
    document_turns::turn reading = m_reader.turns().wait();
    send(7);
    config_version found;
    m_core.newest_document(
        m_now,
        [&found](const result<applied_document>& got)
        { found = got ? got->version : config_version(1); },
        m_board);
    step();
    EXPECT_EQ(found, config_version());
    reading.unlock();
    run_until([&found] { return found != config_version(); });
    EXPECT_EQ(found, config_version(7));
}

} // namespace

} // namespace crowlink::internal
