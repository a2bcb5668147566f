#pragma once

#include "crowlink/agent/load_notice.hpp"
#include "crowlink/agent/owner_answer.hpp"
#include "crowlink/agent/owner_question.hpp"
#include "crowlink/agent/redirect_notice.hpp"
#include "crowlink/agent/shed_notice.hpp"

#include <variant>

namespace crowlink
{

// Messages between agents, apart from the packets that they forward. Each may
// be lost, duplicated or delayed.
using peer_message = std::variant<redirect_notice, load_notice, shed_request,
                                  shed_grant, owner_question, owner_answer>;

} // namespace crowlink
