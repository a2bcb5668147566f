#pragma once

#include "crowlink/wire/answer_datagram.hpp"
#include "crowlink/wire/notice_datagram.hpp"

#include <variant>

namespace crowlink
{

// An agent's message for a caller: an upstream's answer, or a notice that the
// flow was refused or ended.
using caller_answer = std::variant<answer_datagram, notice_datagram>;

} // namespace crowlink
