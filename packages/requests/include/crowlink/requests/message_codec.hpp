#pragma once

#include "crowlink/base/error.hpp"
#include "crowlink/requests/answer_part.hpp"
#include "crowlink/requests/open_session.hpp"
#include "crowlink/requests/request_cancel.hpp"
#include "crowlink/requests/request_part.hpp"
#include "crowlink/requests/session_opened.hpp"
#include "crowlink/requests/upstream_answer.hpp"
#include "crowlink/requests/upstream_cancel.hpp"
#include "crowlink/requests/upstream_run.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

namespace crowlink
{

// Maximum body bytes in one datagram between caller and agent. With the tunnel
// headers to the agent, the datagram fits an Ethernet frame.
constexpr std::size_t part_body_limit = 1100;
// Maximum number of parts of a request or answer.
constexpr std::uint32_t part_limit = 64;
// Maximum body bytes of a request or answer over all its parts.
constexpr std::size_t body_limit = part_body_limit * part_limit;
// Maximum length of the name of a kind, in bytes.
constexpr std::size_t kind_name_limit = 64;
// Longest duration that is decoded; longer ones are clamped to it.
constexpr duration remaining_limit = std::chrono::hours(1);

// Messages from a caller to a service.
using caller_message = std::variant<open_session, request_part, request_cancel>;
// Messages from an agent to a caller.
using agent_message = std::variant<session_opened, answer_part>;
// Messages from an agent to its upstream.
using upstream_command = std::variant<upstream_run, upstream_cancel>;

// Each datagram holds one protobuf message of requests.proto. Decoders accept
// arbitrary bytes; an error names the first invalid field.
std::string encode(const caller_message& message);
std::string encode(const agent_message& message);
std::string encode(const upstream_command& message);
std::string encode(const upstream_answer& message);
result<caller_message> decode_caller_message(std::string_view datagram);
result<agent_message> decode_agent_message(std::string_view datagram);
result<upstream_command> decode_upstream_command(std::string_view datagram);
result<upstream_answer> decode_upstream_answer(std::string_view datagram);

} // namespace crowlink
