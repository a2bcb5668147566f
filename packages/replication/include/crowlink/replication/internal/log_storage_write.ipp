#pragma once

// Writing of log_storage.

#include "crowlink/replication/internal/record_codec.hpp"
#include "crowlink/replication/internal/storage_names.hpp"

#include <algorithm>

namespace crowlink::replication
{

template <file_system FileSystem>
result<void> log_storage<FileSystem>::write(const persist_request& request)
{
    if (m_failed)
    {
        return fail(error_kind::storage, "data folder",
                    "an earlier write failed; repair the disk, then restart");
    }
    result<void> done;
    if (request.new_snapshot)
    {
        done = write_snapshot(*request.new_snapshot);
    }
    if (done)
    {
        done = write_record(request);
    }
    if (done && request.new_snapshot)
    {
        done =
            remove_obsolete(request.new_snapshot->index, request.discard_log);
    }
    m_failed = !done;
    return done;
}

template <file_system FileSystem>
result<void> log_storage<FileSystem>::write_snapshot(const snapshot& taken)
{
    const std::string name =
        internal::numbered_name(internal::snapshot_prefix, taken.index);
    return write_new_file(name, internal::encode_snapshot(taken));
}

template <file_system FileSystem>
result<void>
log_storage<FileSystem>::write_record(const persist_request& request)
{
    const bool full = m_segments.empty() ||
                      m_segments.back().bytes >= m_settings.segment_bytes;
    const bool discards = request.discard_log || m_discard_log;
    const bool is_new_segment = full || discards;
    if (is_new_segment)
    {
        const result<void> started = start_segment();
        if (!started)
        {
            return started;
        }
    }
    segment& active = m_segments.back();
    const std::string name =
        internal::numbered_name(internal::segment_prefix, active.number);
    const std::string bytes =
        internal::encode_record(internal::encode_log_record(request, discards));
    m_discard_log = false;
    active.bytes += bytes.size();
    for (const log_entry& entry : request.entries)
    {
        active.highest = std::max(active.highest, entry.index);
    }
    return m_files->append(name, bytes)
        .and_then(
            [this, &name, is_new_segment]() -> result<void>
            {
                const result<void> synced = sync_file(name);
                return synced && is_new_segment ? sync_folder() : synced;
            });
}

template <file_system FileSystem>
result<void> log_storage<FileSystem>::start_segment()
{
    const std::uint64_t number =
        m_segments.empty() ? 1 : m_segments.back().number + 1;
    m_segments.push_back(segment{number, 0, 0});
    return {};
}

template <file_system FileSystem>
result<void> log_storage<FileSystem>::write_new_file(const std::string& name,
                                                     const std::string& bytes)
{
    const std::string unfinished =
        name + std::string(internal::unfinished_suffix);
    return m_files->append(unfinished, internal::encode_record(bytes))
        .and_then([&] { return sync_file(unfinished); })
        .and_then([&] { return m_files->rename(unfinished, name); })
        .and_then([&] { return sync_folder(); });
}

// Removes only files that the newest snapshot covers, oldest first. Each
// removal is durable before the next one, so that a power loss at any time
// leaves a log without a gap.
template <file_system FileSystem>
result<void> log_storage<FileSystem>::remove_obsolete(log_index covered,
                                                      bool discard)
{
    const std::string kept =
        internal::numbered_name(internal::snapshot_prefix, covered);
    if (!m_snapshot_name.empty() && m_snapshot_name != kept)
    {
        const result<void> removed = m_files->remove(m_snapshot_name);
        if (!removed)
        {
            return removed;
        }
    }
    m_snapshot_name = kept;
    while (m_segments.size() > 1 &&
           (discard || m_segments.front().highest <= covered))
    {
        const std::string oldest = internal::numbered_name(
            internal::segment_prefix, m_segments.front().number);
        const result<void> removed =
            m_files->remove(oldest).and_then([this] { return sync_folder(); });
        if (!removed)
        {
            return removed;
        }
        m_segments.pop_front();
    }
    return {};
}

template <file_system FileSystem>
result<void> log_storage<FileSystem>::sync_file(const std::string& name)
{
    return m_settings.sync ? m_files->sync_file(name) : result<void>();
}

template <file_system FileSystem>
result<void> log_storage<FileSystem>::sync_folder()
{
    return m_settings.sync ? m_files->sync_folder() : result<void>();
}

} // namespace crowlink::replication
