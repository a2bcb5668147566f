#pragma once

#include "crowlink/base/error.hpp"
#include "crowlink/replication/persist_request.hpp"

#include <cstdint>
#include <string>
#include <string_view>

// The records of the data folder's files: a mark, the payload's length, an XXH3
// checksum over length and payload, and the payload, a protobuf message.
namespace crowlink::replication::internal
{

// Frames a payload.
std::string encode_record(std::string_view payload);

enum class record_state : std::uint8_t
{
    // A whole record begins here.
    whole,
    // Nothing more is here.
    end,
    // What is here is no whole record, and no whole record follows: a write
    // that a crash cut short.
    torn,
    // What is here is no whole record, but a whole one follows.
    damaged,
};

// What stands at one offset of a file.
struct record_view
{
    record_state state = record_state::end;
    std::string_view payload;
    std::uint64_t next_offset = 0;
};

record_view read_record(std::string_view file, std::uint64_t offset);

// The payloads: a synced write to the log, a snapshot, the disk's number.
std::string encode_log_record(const persist_request& request, bool discard_log);
result<persist_request> decode_log_record(std::string_view payload);
std::string encode_snapshot(const snapshot& value);
result<snapshot> decode_snapshot(std::string_view payload);
std::string encode_identity(disk_id disk);
result<disk_id> decode_identity(std::string_view payload);

// "log-0000000000000001" and "snapshot-0000000000000007", and the numbers back;
// 0 for a name that is no such name.
std::string numbered_name(std::string_view prefix, std::uint64_t number);
std::uint64_t number_of(std::string_view prefix, std::string_view name);

// An error of the storage that names file and offset.
tl::unexpected<error> damage(const std::string& name, std::uint64_t offset,
                             std::string_view what);

} // namespace crowlink::replication::internal
