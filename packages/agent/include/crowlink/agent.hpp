#pragma once

// The agent module: the small process beside one upstream, the authority on
// its flows. A state machine without I/O: agent::handle(now, event, effects).
//
//   agent_settings.hpp   what an agent is told at its start
//   agent_events.hpp     what may happen to it
//   agent_effects.hpp    what it does to the world, as a concept
//   peer_message.hpp     what agents tell each other
//   redirect_notice.hpp  where flows are, told to their first candidates
//   load_notice.hpp      how much a peer has to do
//   shed_notice.hpp      asking and granting leave to take no new flow
//   flow_refusal.hpp     what a caller is told
//   flow_decision.hpp    one decision, for the log

#include "crowlink/agent/agent_effects.hpp"
#include "crowlink/agent/agent_events.hpp"
#include "crowlink/agent/agent_settings.hpp"
#include "crowlink/agent/flow_decision.hpp"
#include "crowlink/agent/flow_refusal.hpp"
#include "crowlink/agent/load_notice.hpp"
#include "crowlink/agent/peer_message.hpp"
#include "crowlink/agent/redirect_notice.hpp"
#include "crowlink/agent/shed_notice.hpp"
