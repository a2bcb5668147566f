#pragma once

#include "crowlink/base/error.hpp"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace crowlink::replication
{

// One data folder of plain files, named without a path. Nothing is durable
// before it is synced: a file's bytes by sync_file, its presence or new name by
// sync_folder. Any call may fail with error_kind::storage.
template <class FileSystem>
concept file_system = requires(FileSystem& files, const std::string& name,
                               std::string_view bytes, std::uint64_t size)
{
    // Names of all files in the folder, sorted.
    {
        files.list()
        } -> std::same_as<result<std::vector<std::string>>>;
    // A whole file.
    {
        files.read(name)
        } -> std::same_as<result<std::string>>;
    // Adds bytes at the end; makes the file where there is none.
    {
        files.append(name, bytes)
        } -> std::same_as<result<void>>;
    // Cuts the file to this size.
    {
        files.truncate(name, size)
        } -> std::same_as<result<void>>;
    {
        files.sync_file(name)
        } -> std::same_as<result<void>>;
    {
        files.sync_folder()
        } -> std::same_as<result<void>>;
    // Replaces what had the new name.
    {
        files.rename(name, name)
        } -> std::same_as<result<void>>;
    {
        files.remove(name)
        } -> std::same_as<result<void>>;
};

} // namespace crowlink::replication
