#include "crowlink/replication/internal/record_codec.hpp"

#include "crowlink/replication/internal/storage_names.hpp"
#include "wire_convert.hpp"

#include <array>
#include <charconv>
#include <cstring>
#include <fmt/format.h>
#include <utility>
#include <xxhash.h>

namespace crowlink::replication::internal
{

namespace
{

constexpr std::string_view record_magic = "CWLR";
constexpr std::size_t length_size = 4;
constexpr std::size_t checksum_size = 8;
constexpr std::size_t header_size =
    record_magic.size() + length_size + checksum_size;
constexpr std::size_t number_digits = 16;

// Little-endian on every platform.
std::string encode_number(std::uint64_t number, std::size_t size)
{
    std::string out;
    for (std::size_t i = 0; i < size; ++i)
    {
        out.push_back(static_cast<char>((number >> (8 * i)) & 0xff));
    }
    return out;
}

std::uint64_t decode_number(std::string_view bytes)
{
    std::uint64_t number = 0;
    for (std::size_t i = 0; i < bytes.size(); ++i)
    {
        const auto byte = static_cast<unsigned char>(bytes[i]);
        number |= static_cast<std::uint64_t>(byte) << (8 * i);
    }
    return number;
}

// The length is the seed, so that a corrupt length is detected as well.
std::uint64_t checksum(std::string_view payload)
{
    return XXH3_64bits_withSeed(payload.data(), payload.size(), payload.size());
}

bool read_complete(std::string_view file, std::uint64_t offset,
                   record_view& found)
{
    const std::string_view rest = file.substr(offset);
    if (rest.size() < header_size || !rest.starts_with(record_magic))
    {
        return false;
    }
    const std::uint64_t length =
        decode_number(rest.substr(record_magic.size(), length_size));
    if (length > rest.size() - header_size)
    {
        return false;
    }
    const std::uint64_t expected = decode_number(
        rest.substr(record_magic.size() + length_size, checksum_size));
    const std::string_view payload = rest.substr(header_size, length);
    if (checksum(payload) != expected)
    {
        return false;
    }
    found = record_view{record_state::complete, payload,
                        offset + header_size + length};
    return true;
}

template <class Message>
bool parse(std::string_view bytes, Message& out)
{
    return out.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

tl::unexpected<error> parse_error(const char* what)
{
    return fail(error_kind::storage, "record",
                fmt::format("has a valid checksum but is no {}", what));
}

} // namespace

std::string encode_record(std::string_view payload)
{
    std::string out(record_magic);
    out += encode_number(payload.size(), length_size);
    out += encode_number(checksum(payload), checksum_size);
    out += payload;
    return out;
}

record_view read_record(std::string_view file, std::uint64_t offset)
{
    record_view found;
    found.next_offset = offset;
    if (offset >= file.size())
    {
        return found;
    }
    if (read_complete(file, offset, found))
    {
        return found;
    }
    std::size_t candidate = file.find(record_magic, offset + 1);
    while (candidate != std::string_view::npos)
    {
        record_view later;
        if (read_complete(file, candidate, later))
        {
            return record_view{record_state::corrupt, {}, offset};
        }
        candidate = file.find(record_magic, candidate + 1);
    }
    return record_view{record_state::torn, {}, offset};
}

std::string encode_log_record(const persist_request& request, bool discard_log)
{
    wire::LogRecord out;
    out.set_discard_log(discard_log);
    *out.mutable_state() = to_wire(request.state);
    for (const log_entry& entry : request.entries)
    {
        *out.add_entries() = to_wire(entry);
    }
    return out.SerializeAsString();
}

result<persist_request> decode_log_record(std::string_view payload)
{
    wire::LogRecord in;
    if (!parse(payload, in))
    {
        return parse_error("log record");
    }
    persist_request request;
    request.discard_log = in.discard_log();
    request.state = from_wire(in.state());
    for (wire::LogEntry& entry : *in.mutable_entries())
    {
        request.entries.push_back(from_wire(std::move(entry)));
    }
    return request;
}

std::string encode_snapshot(const snapshot& value)
{
    wire::Snapshot out;
    out.set_index(value.index);
    out.set_term(value.term);
    *out.mutable_membership() = to_wire(value.members);
    out.set_cluster(value.cluster);
    out.set_data(*value.data);
    return out.SerializeAsString();
}

result<snapshot> decode_snapshot(std::string_view payload)
{
    wire::Snapshot in;
    if (!parse(payload, in))
    {
        return parse_error("snapshot");
    }
    return snapshot{
        in.index(), in.term(), from_wire(in.membership()), in.cluster(),
        std::make_shared<const std::string>(std::move(*in.mutable_data()))};
}

std::string encode_identity(disk_id disk)
{
    wire::DiskIdentity out;
    out.set_disk(disk.value());
    return out.SerializeAsString();
}

result<disk_id> decode_identity(std::string_view payload)
{
    wire::DiskIdentity in;
    if (!parse(payload, in) || in.disk() == 0)
    {
        return parse_error("disk identity");
    }
    return disk_id(in.disk());
}

std::string numbered_name(std::string_view prefix, std::uint64_t number)
{
    return fmt::format("{}{:016}", prefix, number);
}

std::uint64_t parse_number(std::string_view prefix, std::string_view name)
{
    if (!name.starts_with(prefix) ||
        name.size() != prefix.size() + number_digits)
    {
        return 0;
    }
    const std::string_view digits = name.substr(prefix.size());
    std::uint64_t number = 0;
    const auto [end, code] =
        std::from_chars(digits.data(), digits.data() + digits.size(), number);
    const bool is_number =
        code == std::errc() && end == digits.data() + digits.size();
    return is_number ? number : 0;
}

bool holds_data(std::string_view name)
{
    return parse_number(segment_prefix, name) != 0 ||
           parse_number(snapshot_prefix, name) != 0;
}

bool is_unfinished(std::string_view name)
{
    return name.ends_with(unfinished_suffix);
}

tl::unexpected<error> corruption_error(const std::string& name,
                                       std::uint64_t offset,
                                       std::string_view what)
{
    return fail(error_kind::storage, name,
                fmt::format("damaged at offset {}: {}", offset, what));
}

} // namespace crowlink::replication::internal
