#pragma once

#include "crowlink/base/error.hpp"
#include "crowlink/base/time.hpp"
#include "crowlink/base/verdict.hpp"
#include "crowlink/requests/request_id.hpp"
#include "crowlink/requests/run_id.hpp"
#include "crowlink/requests/ticket.hpp"

#include <cstdint>
#include <requests.pb.h>
#include <string>
#include <string_view>

namespace crowlink::internal
{

namespace pb = wire::requests;

// Conversions between the value types and the generated messages.
std::uint64_t to_microseconds(duration value);
duration from_microseconds(std::uint64_t value);
void write(const request_id& from, pb::request_id& to);
request_id read(const pb::request_id& from);
void write(const ticket& from, pb::ticket& to);
ticket read(const pb::ticket& from);
void write(const run_id& from, pb::run_id& to);
run_id read(const pb::run_id& from);
pb::verdict to_wire(verdict from);
result<verdict> read_verdict(pb::verdict from, std::string_view where);

// Parses a datagram as a single message.
template <class Message>
result<Message> parse(std::string_view datagram, std::string_view name)
{
    Message message;
    if (!message.ParseFromArray(datagram.data(),
                                static_cast<int>(datagram.size())))
    {
        return fail(error_kind::invalid, std::string(name),
                    "is not a protobuf message of this type");
    }
    return message;
}

} // namespace crowlink::internal
