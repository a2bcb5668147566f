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

// The body bytes in one datagram between caller and agent, so that a datagram
// fits an Ethernet frame through the tunnel to the agent.
constexpr std::size_t part_body_limit = 1100;
// The parts of one request or answer.
constexpr std::uint32_t part_limit = 64;
// The body bytes of one request or answer as a whole.
constexpr std::size_t body_limit = part_body_limit * part_limit;
// The bytes of a kind's name.
constexpr std::size_t kind_name_limit = 64;
// The longest remaining time that is taken; a longer one is cut to it.
constexpr duration remaining_limit = std::chrono::hours(1);

// What a caller sends to a service.
using caller_message = std::variant<open_session, request_part, request_cancel>;
// What an agent sends to a caller.
using agent_message = std::variant<session_opened, answer_part>;
// What an agent sends to its upstream.
using upstream_command = std::variant<upstream_run, upstream_cancel>;

// Datagrams are the protobuf messages of requests.proto, one each. Decoders
// take any bytes; an error names the first field that breaks a rule.
std::string encode(const caller_message& message);
std::string encode(const agent_message& message);
std::string encode(const upstream_command& message);
std::string encode(const upstream_answer& message);
result<caller_message> decode_caller_message(std::string_view datagram);
result<agent_message> decode_agent_message(std::string_view datagram);
result<upstream_command> decode_upstream_command(std::string_view datagram);
result<upstream_answer> decode_upstream_answer(std::string_view datagram);

} // namespace crowlink
