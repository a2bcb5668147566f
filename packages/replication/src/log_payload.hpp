#pragma once

#include "crowlink/base/error.hpp"
#include "crowlink/replication/document_change.hpp"
#include "crowlink/replication/evacuation_change.hpp"

#include <string>
#include <string_view>
#include <variant>

namespace crowlink::replication::internal
{

// The payload of a log entry of kind payload.
using log_payload = std::variant<document_change, evacuation_change>;

result<log_payload> decode_payload(std::string_view bytes);

// Encodes an evacuation order; encode_change encodes a document change.
std::string encode_evacuation(const evacuation_change& change);

} // namespace crowlink::replication::internal
