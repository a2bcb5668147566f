#include "fake_disk.hpp"

#include <algorithm>

namespace crowlink::replication
{

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
    return change(name, fault::full)
        .map(
            [&]
            {
                std::shared_ptr<stored_file>& target = m_files[name];
                target = target ? target : std::make_shared<stored_file>();
                target->bytes += bytes;
            });
}

result<void> fake_disk::truncate(const std::string& name, std::uint64_t size)
{
    return change(name, fault::read_only)
        .map([&] { m_files.at(name)->bytes.resize(size); });
}

result<void> fake_disk::sync_file(const std::string& name)
{
    return change(name, fault::sync_fails)
        .map([&] { m_files.at(name)->synced = m_files.at(name)->bytes; });
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
    // One draw, so that the size of a folder does not shift later draws.
    seeded_random folder_random(random());
    lose_folder_changes(folder_random);
    for (const auto& [name, file] : m_files)
    {
        const bool appended = file->bytes.starts_with(file->synced);
        const std::size_t lost_at_most =
            appended ? file->bytes.size() - file->synced.size() : 0;
        file->bytes.resize(file->bytes.size() - random() % (lost_at_most + 1));
        if (file->bytes.size() > file->synced.size() && random() % 2 == 0)
        {
            file->bytes.back() = static_cast<char>(~file->bytes.back());
        }
        file->synced = file->bytes;
    }
    m_synced = m_files;
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
    char& byte = m_files.at(name)->bytes.at(offset);
    byte = static_cast<char>(~byte);
}

} // namespace crowlink::replication
