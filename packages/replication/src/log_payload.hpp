#pragma once

#include "crowlink/base/error.hpp"
#include "crowlink/replication/document_change.hpp"
#include "crowlink/replication/evacuation_change.hpp"

#include <string>
#include <string_view>
#include <variant>

namespace crowlink::replication::internal
{

// What a log entry of the state machine holds.
using log_payload = std::variant<document_change, evacuation_change>;

result<log_payload> decode_payload(std::string_view bytes);

// The bytes of an order about a data centre; see encode_change for the others.
std::string encode_evacuation(const evacuation_change& change);

} // namespace crowlink::replication::internal
