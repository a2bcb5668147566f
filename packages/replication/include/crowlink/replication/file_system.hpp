#pragma once

#include "crowlink/base/error.hpp"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace crowlink::replication
{

// One data folder of regular files, which are named without a path. Nothing is
// durable until it is synced: the contents of a file by sync_file, its creation
// or renaming by sync_folder. Any call may fail with error_kind::storage.
template <class FileSystem>
concept file_system = requires(FileSystem& files, const std::string& name,
                               std::string_view bytes, std::uint64_t size)
{
    // Returns the sorted names of all files in the folder.
    {
        files.list()
        } -> std::same_as<result<std::vector<std::string>>>;
    // Returns the contents of a file.
    {
        files.read(name)
        } -> std::same_as<result<std::string>>;
    // Appends bytes; creates the file if it does not exist.
    {
        files.append(name, bytes)
        } -> std::same_as<result<void>>;
    // Truncates the file to this size.
    {
        files.truncate(name, size)
        } -> std::same_as<result<void>>;
    {
        files.sync_file(name)
        } -> std::same_as<result<void>>;
    {
        files.sync_folder()
        } -> std::same_as<result<void>>;
    // Replaces an existing file of the new name.
    {
        files.rename(name, name)
        } -> std::same_as<result<void>>;
    {
        files.remove(name)
        } -> std::same_as<result<void>>;
};

} // namespace crowlink::replication
