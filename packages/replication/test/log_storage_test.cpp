#include "fake_disk.hpp"

#include "crowlink/replication/log_storage.hpp"
#include "crowlink/replication/posix_file_system.hpp"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <gtest/gtest.h>

namespace crowlink::replication
{

namespace
{

constexpr storage_settings small_segments{200, true};

persist_request entries(log_index first, log_index last, term_number term)
{
    persist_request request;
    request.state = hard_state{term, host_id("a"), first - 1, 7};
    for (log_index index = first; index <= last; ++index)
    {
        request.entries.push_back(
            log_entry{index, term, entry_kind::payload, std::string(20, 'x')});
    }
    return request;
}

persist_request snapshot_at(log_index index, term_number term, bool discard)
{
    persist_request request;
    request.state = hard_state{term, host_id(), index, 7};
    request.new_snapshot =
        snapshot{index, term, membership(), 7,
                 std::make_shared<const std::string>("state")};
    request.discard_log = discard;
    return request;
}

template <class FileSystem>
result<durable_state> reopen(FileSystem& files)
{
    return log_storage<FileSystem>::open(files, disk_id(1), small_segments)
        .map([](log_storage<FileSystem>&& opened)
             { return opened.take_restored(); });
}

// Writes ten entries in several segments.
void fill(fake_disk& disk)
{
    auto storage =
        log_storage<fake_disk>::open(disk, disk_id(1), small_segments);
    ASSERT_TRUE(storage);
    for (log_index index = 1; index <= 10; ++index)
    {
        ASSERT_TRUE(storage->write(entries(index, index, 1)));
    }
    ASSERT_GT(storage->segment_count(), 2U);
}

log_index last_index(const durable_state& state)
{
    if (!state.entries.empty())
    {
        return state.entries.back().index;
    }
    return state.last_snapshot ? state.last_snapshot->index : 0;
}

// Opens the folder, appends entries and takes snapshots. Raises the index up to
// which all was acknowledged: what was restored may be told to others as well.
void write_until_halted(fake_disk& disk, seeded_random& random,
                        log_index& acknowledged)
{
    auto storage =
        log_storage<fake_disk>::open(disk, disk_id(1), small_segments);
    if (!storage)
    {
        ASSERT_TRUE(disk.halted()) << storage.error().message;
        return;
    }
    log_index last = last_index(storage->take_restored());
    ASSERT_GE(last, acknowledged);
    acknowledged = last;
    while (!disk.halted())
    {
        persist_request next = entries(last + 1, last + 1 + random() % 3, 1);
        const bool takes_snapshot = last > 0 && random() % 6 == 0;
        if (takes_snapshot)
        {
            next.new_snapshot = snapshot_at(last, 1, false).new_snapshot;
        }
        if (!storage->write(next))
        {
            return;
        }
        last = next.entries.back().index;
        acknowledged = last;
    }
}

// Processes that are killed one after the other, at drawn calls.
void write_and_kill(fake_disk& disk, seeded_random& random, std::size_t kills,
                    log_index& acknowledged)
{
    for (std::size_t kill = 0; kill < kills; ++kill)
    {
        disk.halt_after(1 + random() % 30);
        write_until_halted(disk, random, acknowledged);
        disk.restart_process();
    }
}

std::string last_segment(fake_disk& disk)
{
    return disk.list()->back();
}

TEST(log_storage, restores_what_was_written)
{
    fake_disk disk;
    fill(disk);
    const auto state = reopen(disk);
    ASSERT_TRUE(state);
    EXPECT_EQ(state->disk, disk_id(1));
    EXPECT_EQ(state->state, (hard_state{1, host_id("a"), 9, 7}));
    EXPECT_EQ(state->entries, entries(1, 10, 1).entries);
}

TEST(log_storage, entries_of_a_later_term_replace_the_tail)
{
    fake_disk disk;
    fill(disk);
    auto storage =
        log_storage<fake_disk>::open(disk, disk_id(1), small_segments);
    ASSERT_TRUE(storage->write(entries(6, 7, 2)));
    const auto state = reopen(disk);
    ASSERT_TRUE(state);
    ASSERT_EQ(state->entries.size(), 7U);
    EXPECT_EQ(state->entries[4].term, 1U);
    EXPECT_EQ(state->entries[5].term, 2U);
}

TEST(log_storage, truncates_a_torn_last_record_of_every_length)
{
    fake_disk whole;
    fill(whole);
    const std::string name = last_segment(whole);
    const std::size_t size = whole.read(name)->size();
    auto storage =
        log_storage<fake_disk>::open(whole, disk_id(1), small_segments);
    ASSERT_TRUE(storage->write(entries(11, 11, 1)));
    ASSERT_EQ(last_segment(whole), name);
    const std::size_t torn = whole.read(name)->size();
    const std::vector<std::string> names = *whole.list();
    for (std::size_t length = size; length < torn; ++length)
    {
        fake_disk disk;
        for (const std::string& one : names)
        {
            ASSERT_TRUE(disk.append(one, *whole.read(one)));
        }
        ASSERT_TRUE(disk.truncate(name, length));
        const auto state = reopen(disk);
        ASSERT_TRUE(state);
        EXPECT_EQ(state->entries.size(), 10U);
        EXPECT_EQ(disk.read(name)->size(), size);
    }
}

TEST(log_storage, reports_corruption_before_the_end_with_its_position)
{
    const std::string first = "log-0000000000000001";
    for (const std::size_t offset : {0U, 5U, 9U, 30U})
    {
        fake_disk disk;
        fill(disk);
        disk.corrupt_byte(first, offset);
        const auto state = reopen(disk);
        ASSERT_FALSE(state);
        EXPECT_EQ(state.error().kind, error_kind::storage);
        EXPECT_EQ(state.error().place, first);
        EXPECT_NE(state.error().message.find("offset 0"), std::string::npos);
    }
}

TEST(log_storage, reports_a_missing_segment_and_a_missing_identity)
{
    fake_disk disk;
    fill(disk);
    ASSERT_TRUE(disk.remove("log-0000000000000002"));
    EXPECT_FALSE(reopen(disk));
    fake_disk anonymous;
    fill(anonymous);
    ASSERT_TRUE(anonymous.remove("identity"));
    EXPECT_EQ(reopen(anonymous).error().place, "identity");
}

TEST(log_storage, a_snapshot_removes_the_segments_that_it_covers)
{
    fake_disk disk;
    fill(disk);
    auto storage =
        log_storage<fake_disk>::open(disk, disk_id(1), small_segments);
    const std::uint64_t before = storage->segment_count();
    ASSERT_TRUE(storage->write(snapshot_at(8, 1, false)));
    EXPECT_LT(storage->segment_count(), before);
    const auto state = reopen(disk);
    ASSERT_TRUE(state && state->last_snapshot);
    EXPECT_EQ(*state->last_snapshot->data, "state");
    EXPECT_EQ(state->entries, entries(9, 10, 1).entries);
}

// Power fails at every point of a write that replaces the log by a snapshot.
// The folder must then hold either the old log or the snapshot, and accept
// entries.
TEST(log_storage, a_snapshot_from_the_leader_replaces_the_log_atomically)
{
    bool took_all = false;
    for (std::size_t calls = 1; !took_all; ++calls)
    {
        fake_disk disk;
        fill(disk);
        seeded_random random(calls);
        auto storage =
            log_storage<fake_disk>::open(disk, disk_id(1), small_segments);
        disk.halt_after(calls);
        took_all = storage->write(snapshot_at(8, 3, true)).has_value();
        disk.crash(random);
        const auto state = reopen(disk);
        ASSERT_TRUE(state) << to_string(state.error());
        const bool replaced = state->last_snapshot.has_value();
        EXPECT_EQ(state->entries.size(), replaced ? 0U : 10U);
        EXPECT_TRUE(replaced || !took_all);
        auto again =
            log_storage<fake_disk>::open(disk, disk_id(1), small_segments);
        const log_index next = replaced ? 9 : 11;
        ASSERT_TRUE(again->write(entries(next, next, 3)));
        EXPECT_EQ(reopen(disk)->entries.back().index, next);
    }
}

// Ten thousand power losses at drawn moments, also while the folder is opened.
TEST(log_storage, starts_with_what_was_acknowledged_after_drawn_power_losses)
{
    constexpr std::uint64_t histories = 1000;
    constexpr int losses = 10;
    for (std::uint64_t seed = 1; seed <= histories; ++seed)
    {
        seeded_random random(seed);
        fake_disk disk;
        log_index acknowledged = 0;
        for (int loss = 0; loss < losses; ++loss)
        {
            disk.halt_after(1 + random() % 60);
            write_until_halted(disk, random, acknowledged);
            disk.crash(random);
            const auto state = reopen(disk);
            ASSERT_TRUE(state)
                << "seed " << seed << ": " << state.error().message;
            ASSERT_GE(last_index(*state), acknowledged) << "seed " << seed;
        }
    }
}

// A killed process leaves changes that nobody has synced. Its successor took
// them for durable, and a power loss undid them behind later records.
TEST(log_storage, keeps_what_successors_of_killed_processes_restored)
{
    constexpr std::uint64_t histories = 1000;
    constexpr int losses = 10;
    for (std::uint64_t seed = 1; seed <= histories; ++seed)
    {
        seeded_random random(seed);
        fake_disk disk;
        log_index acknowledged = 0;
        for (int loss = 0; loss < losses; ++loss)
        {
            write_and_kill(disk, random, 1 + random() % 3, acknowledged);
            disk.halt_after(1 + random() % 30);
            write_until_halted(disk, random, acknowledged);
            ASSERT_FALSE(HasFatalFailure()) << "seed " << seed;
            disk.crash(random);
            const auto state = reopen(disk);
            ASSERT_TRUE(state)
                << "seed " << seed << ": " << state.error().message;
            ASSERT_GE(last_index(*state), acknowledged) << "seed " << seed;
        }
    }
}

// A process is killed between the write of a record and its sync, and the
// record is lost though its successor has restored it.
TEST(log_storage, record_that_a_killed_process_left_outlives_a_power_loss)
{
    constexpr std::size_t calls_of_an_append = 2;
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        fake_disk disk;
        fill(disk);
        auto storage =
            log_storage<fake_disk>::open(disk, disk_id(1), small_segments);
        ASSERT_TRUE(storage);
        disk.halt_after(calls_of_an_append);
        ASSERT_FALSE(storage->write(entries(11, 11, 1)));
        disk.restart_process();
        const auto restored = reopen(disk);
        ASSERT_TRUE(restored);
        ASSERT_EQ(last_index(*restored), 11U);
        seeded_random random(seed);
        disk.crash(random);
        const auto state = reopen(disk);
        ASSERT_TRUE(state) << state.error().message;
        EXPECT_EQ(last_index(*state), 11U) << "seed " << seed;
    }
}

// A snapshot that a loss interrupted stayed in the folder for good, since the
// next one has another name.
TEST(log_storage, removes_an_unfinished_snapshot_at_the_start)
{
    fake_disk disk;
    fill(disk);
    ASSERT_TRUE(disk.append("snapshot-0000000000000003.new", "part"));
    ASSERT_TRUE(reopen(disk));
    const std::vector<std::string> names = *disk.list();
    EXPECT_TRUE(std::none_of(names.begin(), names.end(),
                             [](const std::string& name)
                             { return name.ends_with(".new"); }));
}

TEST(log_storage, writes_nothing_after_a_failure)
{
    for (const auto fault :
         {fake_disk::fault::full, fake_disk::fault::read_only,
          fake_disk::fault::sync_fails})
    {
        fake_disk disk;
        auto storage =
            log_storage<fake_disk>::open(disk, disk_id(1), small_segments);
        disk.set_fault(fault);
        EXPECT_FALSE(storage->write(entries(1, 1, 1)));
        disk.set_fault(fake_disk::fault::none);
        EXPECT_FALSE(storage->write(entries(1, 1, 1)));
        disk.set_fault(fault);
        fake_disk fresh;
        fresh.set_fault(fault);
        EXPECT_FALSE(reopen(fresh));
    }
}

class temporary_folder
{
public:
    temporary_folder()
        : m_path(std::filesystem::temp_directory_path() /
                 "crowlink-replication-XXXXXX")
    {
        std::string name = m_path.string();
        m_path = mkdtemp(name.data());
    }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    ~temporary_folder() { std::filesystem::remove_all(m_path); }

    const std::filesystem::path& path() const { return m_path; }

private:
    std::filesystem::path m_path;
};

TEST(posix_file_system, stores_a_log_and_is_locked_by_one_process)
{
    const temporary_folder folder;
    {
        auto files = posix_file_system::open(folder.path() / "data");
        ASSERT_TRUE(files);
        auto storage = log_storage<posix_file_system>::open(*files, disk_id(5),
                                                            small_segments);
        ASSERT_TRUE(storage);
        ASSERT_TRUE(storage->write(entries(1, 10, 1)));
        ASSERT_TRUE(storage->write(snapshot_at(4, 1, false)));
        const auto second = posix_file_system::open(folder.path() / "data");
        ASSERT_FALSE(second);
        EXPECT_NE(second.error().message.find("another process"),
                  std::string::npos);
    }
    auto files = posix_file_system::open(folder.path() / "data");
    ASSERT_TRUE(files);
    const auto state = reopen(*files);
    ASSERT_TRUE(state);
    EXPECT_EQ(state->disk, disk_id(5));
    EXPECT_EQ(state->entries, entries(5, 10, 1).entries);
}

TEST(posix_file_system, names_the_folder_in_an_error)
{
    const auto files = posix_file_system::open("/proc/nowhere");
    ASSERT_FALSE(files);
    EXPECT_EQ(files.error().kind, error_kind::storage);
    EXPECT_EQ(files.error().place, "/proc/nowhere");
}

} // namespace

} // namespace crowlink::replication
