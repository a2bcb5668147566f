#pragma once

#include "crowlink/base/error.hpp"
#include "crowlink/replication/durable_state.hpp"
#include "crowlink/replication/file_system.hpp"
#include "crowlink/replication/persist_request.hpp"
#include "crowlink/replication/storage_settings.hpp"

#include <cstdint>
#include <deque>
#include <string>

namespace crowlink::replication
{

// The replica's data folder:
//
//   identity             the disk id, chosen when the folder was created
//   log-0000000000000001 segments of records; each record is one synced write
//   snapshot-...         the newest snapshot, named by its index
//
// Every record carries its length and an XXH3 checksum. Opening syncs what it
// finds, truncates an incomplete record at the very end, and reports corruption
// anywhere before it as an error that names the file and the offset.
template <file_system FileSystem>
class log_storage
{
public:
    // Reads the folder. `fresh_disk` becomes the disk id if the folder is new;
    // it must be random and not 0.
    static result<log_storage> open(FileSystem& files, disk_id fresh_disk,
                                    storage_settings settings = {});

    // The restored contents of the folder. May be called once.
    durable_state take_restored() { return std::move(m_restored); }

    // The request is durable when this returns without error. After an error
    // nothing more is written, and every further call fails.
    result<void> write(const persist_request& request);

    std::uint64_t segment_count() const { return m_segments.size(); }

private:
    struct segment
    {
        std::uint64_t number = 0;
        log_index highest = 0;
        std::size_t bytes = 0;
    };

    log_storage(FileSystem& files, storage_settings settings);

    result<void> sync_found_files();
    result<void> load_identity(disk_id fresh_disk);
    result<void> load_snapshot();
    result<void> load_segments();
    result<void> load_segment(segment& loaded, bool last);
    result<void> replay(const std::string& name, std::uint64_t offset,
                        const std::string& payload, segment& loaded);
    result<void> merge_snapshot_and_log();

    result<void> write_snapshot(const snapshot& taken);
    result<void> write_record(const persist_request& request);
    result<void> write_new_file(const std::string& name,
                                const std::string& bytes);
    result<void> start_segment();
    result<void> remove_obsolete(log_index covered, bool discard);
    result<void> sync_file(const std::string& name);
    result<void> sync_folder();

    FileSystem* m_files;
    storage_settings m_settings;
    durable_state m_restored;
    std::deque<segment> m_segments;
    std::string m_snapshot_name;
    // The entries in the segments are obsolete; the next record must discard
    // them.
    bool m_discard_log = false;
    bool m_failed = false;
};

} // namespace crowlink::replication

#include "crowlink/replication/internal/log_storage_open.ipp"
#include "crowlink/replication/internal/log_storage_write.ipp"
