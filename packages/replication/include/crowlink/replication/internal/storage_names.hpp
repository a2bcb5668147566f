#pragma once

#include <string_view>

// The names of the files in a data folder.
namespace crowlink::replication::internal
{

inline constexpr std::string_view identity_name = "identity";
inline constexpr std::string_view segment_prefix = "log-";
inline constexpr std::string_view snapshot_prefix = "snapshot-";
inline constexpr std::string_view unfinished_suffix = ".new";

} // namespace crowlink::replication::internal
