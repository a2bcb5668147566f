#pragma once

#include "crowlink/base/error.hpp"
#include "crowlink/replication/message.hpp"

#include <string>
#include <string_view>

namespace crowlink::replication
{

// Encodes a message as a protobuf Envelope.
std::string encode_message(const replica_message& message);

// Decodes the output of encode_message. Bytes that do not parse, and messages
// without a sender or a body, are an error.
result<replica_message> decode_message(std::string_view bytes);

} // namespace crowlink::replication
