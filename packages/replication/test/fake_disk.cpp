#include "fake_disk.hpp"

#include <algorithm>

namespace crowlink::replication
{

namespace
{

// Overwrites a part of the content; a gap before it holds zeros.
void overlay(std::string& content, std::size_t offset, std::string_view bytes)
{
    if (bytes.empty())
    {
        return;
    }
    content.resize(std::max(content.size(), offset + bytes.size()));
    content.replace(offset, bytes.size(), bytes);
}

} // namespace

result<void> fake_disk::change(const std::string& name, fault prevents)
{
    const bool refused = m_fault == prevents || m_fault == fault::read_only;
    if (refused || halted())
    {
        return fail(error_kind::storage, name, "the fake disk refuses");
    }
    if (m_calls_left)
    {
        --*m_calls_left;
    }
    return {};
}

result<std::vector<std::string>> fake_disk::list()
{
    std::vector<std::string> names;
    for (const auto& [name, file] : m_files)
    {
        names.push_back(name);
    }
    return names;
}

result<std::string> fake_disk::read(const std::string& name)
{
    const auto found = m_files.find(name);
    if (found == m_files.end())
    {
        return fail(error_kind::storage, name, "is not there");
    }
    return found->second->bytes;
}

result<void> fake_disk::append(const std::string& name, std::string_view bytes)
{
    const std::size_t half = bytes.size() / 2;
    return write(name, bytes.substr(0, half))
        .and_then([&] { return write(name, bytes.substr(half)); });
}

result<void> fake_disk::write(const std::string& name, std::string_view bytes)
{
    return change(name, fault::full)
        .map(
            [&]
            {
                std::shared_ptr<stored_file>& target = m_files[name];
                target = target ? target : std::make_shared<stored_file>();
                target->unsynced.emplace_back(
                    unsynced_write{target->bytes.size(), std::string(bytes)});
                target->bytes += bytes;
            });
}

result<void> fake_disk::truncate(const std::string& name, std::uint64_t size)
{
    return change(name, fault::read_only)
        .map(
            [&]
            {
                stored_file& target = *m_files.at(name);
                target.unsynced.emplace_back(unsynced_truncation{size});
                target.bytes.resize(size);
            });
}

result<void> fake_disk::sync_file(const std::string& name)
{
    return change(name, fault::sync_fails)
        .map(
            [&]
            {
                stored_file& target = *m_files.at(name);
                target.synced = target.bytes;
                target.unsynced.clear();
            });
}

result<void> fake_disk::sync_folder()
{
    return change(".", fault::sync_fails).map([&] { m_synced = m_files; });
}

result<void> fake_disk::rename(const std::string& from, const std::string& to)
{
    return change(from, fault::read_only)
        .map(
            [&]
            {
                m_files[to] = m_files.at(from);
                m_files.erase(from);
            });
}

result<void> fake_disk::remove(const std::string& name)
{
    return change(name, fault::read_only).map([&] { m_files.erase(name); });
}

void fake_disk::crash(seeded_random& random)
{
    m_calls_left.reset();
    // One draw, so that the disk's content does not shift later draws.
    seeded_random losses(random());
    lose_folder_changes(losses);
    const bool loses_all = losses() % 4 == 0;
    for (const auto& [name, file] : m_files)
    {
        lose_content(*file, losses, loses_all);
    }
    m_synced = m_files;
}

void fake_disk::lose_content(stored_file& file, seeded_random& random,
                             bool loses_all)
{
    enum outcome : std::uint64_t
    {
        kept,
        missing,
        torn,
        outcomes,
    };
    std::string content = file.synced;
    for (const unsynced_change& each : file.unsynced)
    {
        const std::uint64_t drawn = random() % outcomes;
        if (loses_all || drawn == missing)
        {
            continue;
        }
        if (const auto* cut = std::get_if<unsynced_truncation>(&each))
        {
            content.resize(std::min(content.size(), cut->size));
            continue;
        }
        const auto& written = std::get<unsynced_write>(each);
        std::string bytes = written.bytes;
        if (drawn == torn)
        {
            bytes.resize(random() % (bytes.size() + 1));
        }
        if (drawn == torn && !bytes.empty() && random() % 2 == 0)
        {
            bytes.back() = static_cast<char>(~bytes.back());
        }
        overlay(content, written.offset, bytes);
    }
    file.bytes = content;
    file.synced = std::move(content);
    file.unsynced.clear();
}

// A journal may have written any of the folder's changes since its last sync.
void fake_disk::lose_folder_changes(seeded_random& random)
{
    folder left = m_files;
    left.merge(folder(m_synced));
    for (auto each = left.begin(); each != left.end();)
    {
        const auto changed = m_files.find(each->first);
        const auto synced = m_synced.find(each->first);
        const bool is_lost = random() % 2 == 0;
        const folder& from = is_lost ? m_synced : m_files;
        const auto kept = is_lost ? synced : changed;
        if (kept == from.end())
        {
            each = left.erase(each);
            continue;
        }
        each->second = kept->second;
        ++each;
    }
    m_files = std::move(left);
}

void fake_disk::corrupt_byte(const std::string& name, std::size_t offset)
{
    stored_file& file = *m_files.at(name);
    for (std::string* const content : {&file.bytes, &file.synced})
    {
        if (offset < content->size())
        {
            char& byte = content->at(offset);
            byte = static_cast<char>(~byte);
        }
    }
}

} // namespace crowlink::replication
