#pragma once

#include "crowlink/replication/change_outcome.hpp"
#include "crowlink/replication/document_change.hpp"
#include "crowlink/replication/hard_state.hpp"
#include "crowlink/replication/log_entry.hpp"
#include "crowlink/replication/membership.hpp"

#include "replication.pb.h"

#include <string>
#include <string_view>

// Conversions between the value types and their protobuf messages.
namespace crowlink::replication::internal
{

namespace wire = crowlink::wire::replication;

wire::Membership to_wire(const membership& value);
membership from_wire(const wire::Membership& value);

wire::LogEntry to_wire(const log_entry& value);
log_entry from_wire(wire::LogEntry&& value);

wire::HardState to_wire(const hard_state& value);
hard_state from_wire(const wire::HardState& value);

wire::DocumentChange to_wire(const document_change& value);
document_change from_wire(wire::DocumentChange&& value);

wire::ChangeOutcome to_wire(const change_outcome& value);
change_outcome from_wire(const wire::ChangeOutcome& value);

// Encodes and decodes the payload of a membership entry.
std::string encode_membership(const membership& value);
membership decode_membership(std::string_view bytes);

} // namespace crowlink::replication::internal
