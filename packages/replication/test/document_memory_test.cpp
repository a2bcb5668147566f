// Heap use of the log and its documents on a control host that receives many
// large documents in succession.

#include "heap_peak.hpp"

#include "crowlink/replication/log_storage.hpp"
#include "crowlink/replication/posix_file_system.hpp"
#include "crowlink/replication/replicated_document.hpp"

#include <filesystem>
#include <gtest/gtest.h>

namespace crowlink::replication
{

namespace
{

using folder_storage = log_storage<posix_file_system>;

constexpr std::size_t mebibyte = 1024 * 1024;
// A control process may use 64 MB, half of which is for other purposes.
constexpr std::size_t max_heap_bytes = 32 * mebibyte;
// The size of a document with 1,200 routes, as the platform generates it.
constexpr std::size_t document_bytes = 410'000;
// More versions than operators apply on a busy day.
constexpr std::uint64_t versions = 150;

// A single control host whose data folder is a real one.
class single_host
{
public:
    explicit single_host(const std::filesystem::path& folder)
        : m_files(posix_file_system::open(folder).value())
        , m_storage(folder_storage::open(m_files, disk_id(1)).value())
        , m_document(settings(), m_storage.take_restored(), m_now,
                     seeded_random(1))
    {
        perform_effects(m_document.start());
    }

    // Proposes an explicit version, which is in force on return.
    void apply_version(std::uint64_t version)
    {
        document_change change;
        change.operation = operation_id("given-" + std::to_string(version));
        change.document = std::string(document_bytes, 'x');
        change.given = config_version(version);
        perform_effects(
            m_document.handle(m_now, propose_change{version, change}));
    }

    void become_leader()
    {
        while (m_document.status(m_now).role != replica_role::leader)
        {
            m_now += std::chrono::milliseconds(100);
            perform_effects(m_document.handle(m_now, tick{}));
        }
    }

    config_version version() const
    {
        return m_document.store().current_version();
    }

private:
    static replica_settings settings()
    {
        replica_settings made;
        made.self = host_id("a");
        made.founding_voters = {host_id("a")};
        return made;
    }

    void perform_effects(const std::vector<document_effect>& effects)
    {
        for (const document_effect& effect : effects)
        {
            if (const auto* wanted = std::get_if<persist>(&effect))
            {
                ASSERT_TRUE(m_storage.write(wanted->request));
                perform_effects(m_document.handle(
                    m_now, storage_done{wanted->request.sequence}));
            }
        }
    }

    time_point m_now{std::chrono::seconds(1)};
    posix_file_system m_files;
    folder_storage m_storage;
    replicated_document m_document;
};

class document_memory : public testing::Test
{
protected:
    document_memory()
        : m_folder(
              std::filesystem::path(testing::TempDir()) /
              testing::UnitTest::GetInstance()->current_test_info()->name())
    {
        std::filesystem::remove_all(m_folder);
        m_before = heap_bytes();
        reset_heap_peak();
    }
    ~document_memory() override { std::filesystem::remove_all(m_folder); }

    std::size_t peak_heap_use() const { return heap_peak() - m_before; }

    std::filesystem::path m_folder;
    std::size_t m_before = 0;
};

TEST_F(document_memory, is_bounded_while_many_versions_are_applied)
{
    single_host host(m_folder);
    host.become_leader();
    for (std::uint64_t version = 1; version <= versions; ++version)
    {
        host.apply_version(version);
    }
    EXPECT_EQ(host.version(), config_version(versions));
    EXPECT_LE(peak_heap_use(), max_heap_bytes);
}

TEST_F(document_memory, is_bounded_when_a_host_restores_its_data_folder)
{
    {
        single_host host(m_folder);
        host.become_leader();
        for (std::uint64_t version = 1; version <= versions; ++version)
        {
            host.apply_version(version);
        }
    }
    reset_heap_peak();
    single_host again(m_folder);
    again.become_leader();
    EXPECT_EQ(again.version(), config_version(versions));
    EXPECT_LE(peak_heap_use(), max_heap_bytes);
}

} // namespace

} // namespace crowlink::replication
