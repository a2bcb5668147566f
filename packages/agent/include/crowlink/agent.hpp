#pragma once

// The agent module: the small process beside one upstream, the authority on
// its flows. A state machine without I/O: agent::handle(now, event, effects).
// docs/design/flows.md says how flows are found, placed and kept.
//
//   agent.hpp            the state machine
//   agent_settings.hpp   what an agent is told at its start
//   agent_events.hpp     what may happen to it
//   agent_effects.hpp    what it does to the world, as a concept
//   agent_counts.hpp     what it has counted
//   peer_message.hpp     what agents tell each other
//   redirect_notice.hpp  where flows are, told to their first candidates
//   load_notice.hpp      how much a peer has to do
//   shed_notice.hpp      asking and granting leave to take no new flow
//   flow_refusal.hpp     what a caller is told
//   flow_decision.hpp    one decision, for the log
//   hand_on_opening.hpp  the way of an opening packet that came by mistake
//
// The parts below are its own business:
//
//   flow_table.hpp       the flows that it owns
//   redirect_table.hpp   where the flows of others are
//   member_tables.hpp    views, and the tables of the settling time
//   chain_walk.hpp       the positions of a packet's two chains
//   admission.hpp        whether a new flow may come in
//   progress_judge.hpp   how warm and how healthy the upstream is
//   load_board.hpp       the loads of peers
//   shed_warden.hpp      who may shed
//   redirect_batch.hpp   redirects on their way
//   deadline_queue.hpp   flows to look at later
//   effect_queue.hpp     effects between decision and execution

#include "crowlink/agent/agent.hpp"
#include "crowlink/agent/agent_counts.hpp"
#include "crowlink/agent/agent_effects.hpp"
#include "crowlink/agent/agent_events.hpp"
#include "crowlink/agent/agent_settings.hpp"
#include "crowlink/agent/flow_decision.hpp"
#include "crowlink/agent/flow_refusal.hpp"
#include "crowlink/agent/hand_on_opening.hpp"
#include "crowlink/agent/load_notice.hpp"
#include "crowlink/agent/peer_message.hpp"
#include "crowlink/agent/redirect_notice.hpp"
#include "crowlink/agent/shed_notice.hpp"
