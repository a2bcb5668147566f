#pragma once

#include "crowlink/base/error.hpp"
#include "crowlink/replication/message.hpp"

#include <string>
#include <string_view>

namespace crowlink::replication
{

// The bytes of a message, as a protobuf Envelope.
std::string encode_message(const replica_message& message);

// Reads what encode_message wrote; bytes that are no such message, or that name
// neither sender nor body, are an error.
result<replica_message> decode_message(std::string_view bytes);

} // namespace crowlink::replication
