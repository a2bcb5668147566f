#pragma once

// Opening and reading of log_storage.

#include "crowlink/replication/internal/record_codec.hpp"
#include "crowlink/replication/internal/storage_names.hpp"

#include <algorithm>
#include <utility>

namespace crowlink::replication
{

template <file_system FileSystem>
log_storage<FileSystem>::log_storage(FileSystem& files,
                                     storage_settings settings)
    : m_files(&files), m_settings(settings)
{
}

template <file_system FileSystem>
result<log_storage<FileSystem>>
log_storage<FileSystem>::open(FileSystem& files, disk_id fresh_disk,
                              storage_settings settings)
{
    log_storage opened(files, settings);
    const result<void> done =
        opened.sync_found_files()
            .and_then([&] { return opened.load_identity(fresh_disk); })
            .and_then([&opened] { return opened.load_snapshot(); })
            .and_then([&opened] { return opened.load_segments(); })
            .and_then([&opened] { return opened.merge_snapshot_and_log(); });
    if (!done)
    {
        return tl::unexpected<error>(done.error());
    }
    return opened;
}

// A killed process may leave writes and changes of the folder that were never
// synced. What is read from them is told to other hosts, and further changes
// assume it, so it is made durable first.
template <file_system FileSystem>
result<void> log_storage<FileSystem>::sync_found_files()
{
    const auto names = m_files->list();
    if (!names)
    {
        return tl::unexpected<error>(names.error());
    }
    for (const std::string& one : *names)
    {
        result<void> done;
        if (internal::is_unfinished(one))
        {
            done = m_files->remove(one);
        }
        else if (one == internal::identity_name || internal::holds_data(one))
        {
            done = sync_file(one);
        }
        if (!done)
        {
            return done;
        }
    }
    return sync_folder();
}

template <file_system FileSystem>
result<void> log_storage<FileSystem>::load_identity(disk_id fresh_disk)
{
    const auto names = m_files->list();
    if (!names)
    {
        return tl::unexpected<error>(names.error());
    }
    const std::string name(internal::identity_name);
    const bool present =
        std::find(names->begin(), names->end(), name) != names->end();
    const bool has_data =
        std::any_of(names->begin(), names->end(), internal::holds_data);
    if (!present && has_data)
    {
        return internal::corruption_error(
            name, 0, "missing, but the folder contains a log");
    }
    if (!present)
    {
        m_restored.disk = fresh_disk;
        return write_new_file(name, internal::encode_identity(fresh_disk));
    }
    const auto bytes = m_files->read(name);
    if (!bytes)
    {
        return tl::unexpected<error>(bytes.error());
    }
    const internal::record_view record = internal::read_record(*bytes, 0);
    if (record.state != internal::record_state::complete)
    {
        return internal::corruption_error(name, 0, "no complete record");
    }
    const auto disk = internal::decode_identity(record.payload);
    if (!disk)
    {
        return internal::corruption_error(name, 0, disk.error().message);
    }
    m_restored.disk = *disk;
    return {};
}

template <file_system FileSystem>
result<void> log_storage<FileSystem>::load_snapshot()
{
    const auto names = m_files->list();
    if (!names)
    {
        return tl::unexpected<error>(names.error());
    }
    // The names are sorted, so that the last one is the newest; a crash may
    // have left an older snapshot behind. The newest one's name is durable, so
    // that no start needs the older one.
    for (const std::string& one : *names)
    {
        if (internal::parse_number(internal::snapshot_prefix, one) == 0)
        {
            continue;
        }
        if (!m_snapshot_name.empty())
        {
            const result<void> removed = m_files->remove(m_snapshot_name);
            if (!removed)
            {
                return removed;
            }
        }
        m_snapshot_name = one;
    }
    if (m_snapshot_name.empty())
    {
        return {};
    }
    const auto bytes = m_files->read(m_snapshot_name);
    if (!bytes)
    {
        return tl::unexpected<error>(bytes.error());
    }
    const internal::record_view record = internal::read_record(*bytes, 0);
    if (record.state != internal::record_state::complete)
    {
        return internal::corruption_error(m_snapshot_name, 0,
                                          "no complete record");
    }
    auto loaded = internal::decode_snapshot(record.payload);
    if (!loaded)
    {
        return internal::corruption_error(m_snapshot_name, 0,
                                          loaded.error().message);
    }
    m_restored.last_snapshot = *std::move(loaded);
    return {};
}

template <file_system FileSystem>
result<void> log_storage<FileSystem>::load_segments()
{
    const auto names = m_files->list();
    if (!names)
    {
        return tl::unexpected<error>(names.error());
    }
    for (const std::string& one : *names)
    {
        const std::uint64_t number =
            internal::parse_number(internal::segment_prefix, one);
        if (number == 0)
        {
            continue;
        }
        if (!m_segments.empty() && number != m_segments.back().number + 1)
        {
            return internal::corruption_error(
                one, 0, "the previous segment is missing");
        }
        m_segments.push_back(segment{number, 0, 0});
    }
    for (segment& one : m_segments)
    {
        const bool last = &one == &m_segments.back();
        const result<void> done = load_segment(one, last);
        if (!done)
        {
            return done;
        }
    }
    return {};
}

template <file_system FileSystem>
result<void> log_storage<FileSystem>::load_segment(segment& loaded, bool last)
{
    const std::string name =
        internal::numbered_name(internal::segment_prefix, loaded.number);
    const auto bytes = m_files->read(name);
    if (!bytes)
    {
        return tl::unexpected<error>(bytes.error());
    }
    std::uint64_t offset = 0;
    internal::record_view record = internal::read_record(*bytes, offset);
    while (record.state == internal::record_state::complete)
    {
        const result<void> done =
            replay(name, offset, std::string(record.payload), loaded);
        if (!done)
        {
            return done;
        }
        offset = record.next_offset;
        record = internal::read_record(*bytes, offset);
    }
    loaded.bytes = offset;
    if (record.state == internal::record_state::end)
    {
        return {};
    }
    if (record.state == internal::record_state::corrupt || !last)
    {
        return internal::corruption_error(
            name, offset,
            "the record fails its checksum and is not the "
            "last one");
    }
    // The write of this record was interrupted, so it was never acknowledged.
    return m_files->truncate(name, offset)
        .and_then([this, &name] { return sync_file(name); });
}

template <file_system FileSystem>
result<void>
log_storage<FileSystem>::replay(const std::string& name, std::uint64_t offset,
                                const std::string& payload, segment& loaded)
{
    auto record = internal::decode_log_record(payload);
    if (!record)
    {
        return internal::corruption_error(name, offset, record.error().message);
    }
    std::vector<log_entry>& entries = m_restored.entries;
    if (record->discard_log)
    {
        entries.clear();
    }
    m_restored.state = record->state;
    for (log_entry& entry : record->entries)
    {
        loaded.highest = std::max(loaded.highest, entry.index);
        while (!entries.empty() && entries.back().index >= entry.index)
        {
            entries.pop_back();
        }
        if (!entries.empty() && entries.back().index + 1 != entry.index)
        {
            return internal::corruption_error(
                name, offset, "the log has a gap before this record");
        }
        entries.push_back(std::move(entry));
    }
    return {};
}

// Combines the snapshot and the entries into one contiguous history.
template <file_system FileSystem>
result<void> log_storage<FileSystem>::merge_snapshot_and_log()
{
    std::vector<log_entry>& entries = m_restored.entries;
    const std::optional<snapshot>& taken = m_restored.last_snapshot;
    const log_index covered = taken ? taken->index : 0;
    if (!entries.empty() && entries.front().index > covered + 1)
    {
        return internal::corruption_error(
            internal::numbered_name(internal::segment_prefix,
                                    m_segments.front().number),
            0, "entries between the snapshot and the log are missing");
    }
    // A crash may have come between a snapshot from the leader and the log
    // record that follows it. The log then belongs to a different history
    // unless it contains the last entry that the snapshot covers.
    const bool reaches_snapshot =
        !entries.empty() && entries.back().index >= covered;
    const bool starts_after =
        !entries.empty() && entries.front().index == covered + 1;
    const bool same_history =
        reaches_snapshot && !starts_after && taken &&
        entries[covered - entries.front().index].term == taken->term;
    if (!entries.empty() && taken && !starts_after && !same_history)
    {
        entries.clear();
        m_discard_log = true;
    }
    entries.erase(entries.begin(),
                  std::find_if(entries.begin(), entries.end(),
                               [covered](const log_entry& entry)
                               { return entry.index > covered; }));
    return {};
}

} // namespace crowlink::replication
