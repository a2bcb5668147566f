// Measures the replicated log with real fsync: changes a second against a bare
// append and fsync of the same run, recovery time, memory of a log entry.
// CROWLINK_BENCH_FOLDER names the folder to write to; it should be on a disk.

#include "loopback_cluster.hpp"

#include "crowlink/replication/message_codec.hpp"

#include <benchmark/benchmark.h>
#include <cstdlib>
#include <filesystem>
#include <malloc.h>

namespace
{

using namespace crowlink;
using namespace crowlink::replication;

constexpr std::size_t small_change = 1000;

class bench_folder
{
public:
    bench_folder()
    {
        const char* set = std::getenv("CROWLINK_BENCH_FOLDER");
        const std::filesystem::path root =
            set != nullptr ? std::filesystem::path(set)
                           : std::filesystem::temp_directory_path();
        std::string name = (root / "crowlink-bench-XXXXXX").string();
        m_path = mkdtemp(name.data());
    }
    bench_folder(const bench_folder&) = delete;
    bench_folder& operator=(const bench_folder&) = delete;
    ~bench_folder() { std::filesystem::remove_all(m_path); }

    const std::filesystem::path& path() const { return m_path; }

private:
    std::filesystem::path m_path;
};

// The baseline: what the disk gives at most to so many files at one time. Items
// are counted over all threads.
void append_and_fsync(benchmark::State& state)
{
    const bench_folder folder;
    auto files = posix_file_system::open(folder.path());
    const std::string bytes(small_change, 'x');
    for (auto _ : state)
    {
        if (!files->append("file", bytes) || !files->sync_file("file"))
        {
            state.SkipWithError("the disk fails");
        }
    }
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(append_and_fsync)->Threads(1)->Threads(3)->Threads(5)->UseRealTime();

// Arguments: voters, and changes under way at one time.
void changes(benchmark::State& state)
{
    const bench_folder folder;
    const auto in_flight = static_cast<std::size_t>(state.range(1));
    loopback_cluster cluster(static_cast<std::size_t>(state.range(0)),
                             folder.path());
    for (auto _ : state)
    {
        cluster.change(in_flight, small_change);
    }
    state.SetItemsProcessed(state.iterations() * state.range(1));
    state.counters["failures"] = static_cast<double>(cluster.failures());
}
BENCHMARK(changes)->ArgsProduct({{1, 3, 5}, {1, 64}})->UseRealTime();

persist_request filled_request(log_index first, std::size_t count,
                               std::size_t bytes)
{
    persist_request request;
    request.state = hard_state{1, host_id("a"), first + count - 1, 1};
    for (log_index index = first; index < first + count; ++index)
    {
        const document_change change{config_version(index - 1),
                                     operation_id(std::to_string(index)),
                                     "bench", std::string(bytes, 'x')};
        request.entries.push_back(
            log_entry{index, 1, entry_kind::payload, encode_change(change)});
    }
    return request;
}

// Opens the folder and brings the store up to date, as a restart does.
std::uint64_t recover(const std::filesystem::path& folder)
{
    auto files = posix_file_system::open(folder);
    auto storage = log_storage<posix_file_system>::open(*files, disk_id(1));
    replica_settings settings;
    settings.self = host_id("a");
    replicated_document document(settings, storage->take_restored(),
                                 time_point(), seeded_random(1));
    document.start();
    return document.store().current_version().value();
}

// Argument: entries of the log, of 1000 bytes each, without a snapshot.
void recovery_of_log(benchmark::State& state)
{
    constexpr std::size_t batch = 100;
    const bench_folder folder;
    const auto count = static_cast<std::size_t>(state.range(0));
    {
        auto files = posix_file_system::open(folder.path());
        auto storage = log_storage<posix_file_system>::open(*files, disk_id(1));
        for (log_index first = 1; first <= count; first += batch)
        {
            if (!storage->write(filled_request(first, batch, small_change)))
            {
                state.SkipWithError("the disk fails");
            }
        }
    }
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(recover(folder.path()));
    }
}
BENCHMARK(recovery_of_log)
    ->Arg(1000)
    ->Arg(10000)
    ->Arg(50000)
    ->Unit(benchmark::kMillisecond);

// Argument: bytes of the document in the snapshot.
void recovery_of_snapshot(benchmark::State& state)
{
    const bench_folder folder;
    {
        auto files = posix_file_system::open(folder.path());
        auto storage = log_storage<posix_file_system>::open(*files, disk_id(1));
        store_limits limits;
        limits.history_bytes = static_cast<std::size_t>(state.range(0)) * 2;
        document_store store(limits);
        store.apply(document_change{
            config_version(0), operation_id("a"), "bench",
            std::string(static_cast<std::size_t>(state.range(0)), 'x')});
        persist_request request = filled_request(1, 1, 1);
        request.new_snapshot =
            snapshot{1, 1, membership(), 1,
                     std::make_shared<const std::string>(store.save())};
        if (!storage->write(request))
        {
            state.SkipWithError("the disk fails");
        }
    }
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(recover(folder.path()));
    }
}
BENCHMARK(recovery_of_snapshot)
    ->Arg(1 << 20)
    ->Arg(1 << 23)
    ->Arg(1 << 26)
    ->Unit(benchmark::kMillisecond);

// One heartbeat through the codec, there and back.
void heartbeat(benchmark::State& state)
{
    const replica_message message{host_id("control-quezon-1"),
                                  disk_id(~0ULL),
                                  host_id("control-pasig-1"),
                                  disk_id(~0ULL),
                                  ~0ULL,
                                  12,
                                  append_request{100000, 12, 100000, {}, -1}};
    std::string bytes;
    for (auto _ : state)
    {
        bytes = encode_message(message);
        benchmark::DoNotOptimize(decode_message(bytes));
    }
    state.counters["bytes"] = static_cast<double>(bytes.size());
}
BENCHMARK(heartbeat);

// Argument: bytes of a change. The heap that a restored log takes per entry.
void memory_of_entry(benchmark::State& state)
{
    constexpr std::size_t count = 5000;
    const auto bytes = static_cast<std::size_t>(state.range(0));
    durable_state restored;
    restored.disk = disk_id(1);
    restored.entries = filled_request(1, count, bytes).entries;
    for (auto _ : state)
    {
        replica_settings settings;
        settings.self = host_id("a");
        durable_state copy = restored;
        malloc_trim(0);
        const std::size_t before = mallinfo2().uordblks;
        const replica held(settings, restored, time_point(), seeded_random(1));
        const std::size_t after = mallinfo2().uordblks;
        state.counters["bytes_per_entry"] =
            static_cast<double>(after - before) / count;
        state.counters["overhead_per_entry"] =
            static_cast<double>(after - before) / count -
            static_cast<double>(restored.entries.back().payload.size());
        benchmark::DoNotOptimize(copy);
    }
}
BENCHMARK(memory_of_entry)->Arg(100)->Arg(1000)->Iterations(3);

} // namespace

BENCHMARK_MAIN();
