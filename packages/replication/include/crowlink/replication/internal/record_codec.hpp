#pragma once

#include "crowlink/base/error.hpp"
#include "crowlink/replication/persist_request.hpp"

#include <cstdint>
#include <string>
#include <string_view>

// The record format of the files in a data folder: a magic number, the length
// of the payload, an XXH3 checksum of length and payload, and the payload,
// which is a protobuf message.
namespace crowlink::replication::internal
{

// Encodes a payload as a record.
std::string encode_record(std::string_view payload);

enum class record_state : std::uint8_t
{
    // A complete record starts here.
    complete,
    // End of the file.
    end,
    // No complete record here or later: a write that a crash interrupted.
    torn,
    // No complete record here, but one follows.
    corrupt,
};

// The record at an offset of a file.
struct record_view
{
    record_state state = record_state::end;
    std::string_view payload;
    std::uint64_t next_offset = 0;
};

record_view read_record(std::string_view file, std::uint64_t offset);

// Payloads: a write to the log, a snapshot, the disk id.
std::string encode_log_record(const persist_request& request, bool discard_log);
result<persist_request> decode_log_record(std::string_view payload);
std::string encode_snapshot(const snapshot& value);
result<snapshot> decode_snapshot(std::string_view payload);
std::string encode_identity(disk_id disk);
result<disk_id> decode_identity(std::string_view payload);

// Formats names such as "log-0000000000000001" and "snapshot-0000000000000007",
// and parses their number; 0 for any other name.
std::string numbered_name(std::string_view prefix, std::uint64_t number);
std::uint64_t parse_number(std::string_view prefix, std::string_view name);

// Whether a file holds a segment of the log or a snapshot.
bool holds_data(std::string_view name);
// Whether a file was being written when its process ended; nothing refers to
// it.
bool is_unfinished(std::string_view name);

// A storage error that names the file and the offset of the corruption.
tl::unexpected<error> corruption_error(const std::string& name,
                                       std::uint64_t offset,
                                       std::string_view what);

} // namespace crowlink::replication::internal
