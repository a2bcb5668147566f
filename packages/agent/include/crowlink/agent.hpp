#pragma once

// The agent module: the process beside one upstream that is the authority on
// its flows. A state machine without I/O: agent::handle(now, event, effects).
// docs/design/flows.md describes how flows are looked up, placed and kept.
//
//   agent.hpp                  the state machine
//   agent_settings.hpp         its settings, fixed at its start
//   agent_events.hpp           its input events
//   agent_effects.hpp          its outputs, as a concept
//   agent_counts.hpp           its counters
//   peer_message.hpp           messages between agents
//   redirect_notice.hpp        flow locations, sent to their first candidates
//   load_notice.hpp            the load of a peer
//   shed_notice.hpp            permission to take no new flow
//   flow_refusal.hpp           why a caller is refused or reset
//   flow_decision.hpp          one decision, for the log
//   owner_belief.hpp           why a flow of another member was reset
//   opening_counts.hpp         what became of opening packets
//   forward_opening.hpp        forwards opening packets that came by mistake
//   upstream_tracker.hpp       the state of the upstream beside the agent
//   upstream_announcement.hpp  what an upstream announces periodically
//   upstream_withdrawal.hpp    an upstream's notice that it ends
//
// The parts below are internal:
//
//   flow_table.hpp               the flows that the agent owns
//   redirect_table.hpp           the locations of other agents' flows
//   member_tables.hpp            views, and the tables of the settling time
//   chain_walk.hpp               positions in a packet's two chains
//   admission.hpp                whether a new flow is admitted
//   cold_start_limiter.hpp       the rate limit of a cold upstream
//   service_time_estimator.hpp   how long requests occupy a slot
//   recent_openings.hpp          openings whose requests have not come yet
//   completion_estimate.hpp      when a request would be completed
//   opening_deadline.hpp         until when a caller waits
//   held_opening.hpp             an opening packet that waits for room
//   opening_queue.hpp            which of them start, and in which order
//   hold_plan.hpp                what becomes of each
//   opening_verdict.hpp          what becomes of a new one
//   level_turns.hpp              turns of priority levels
//   host_fairness.hpp            turns of entry hosts
//   progress_monitor.hpp         the warm-up and health of the upstream
//   peer_loads.hpp               the loads of peers
//   shed_coordinator.hpp         which upstreams may shed
//   redirect_batch.hpp           redirects that wait to be sent
//   retransmission_detector.hpp  whether a caller's flow is served
//   owner_search.hpp             searches for the owners of flows
//   returned_flows.hpp           flows that the upstream does not hold
//   silent_member_query.hpp      datagrams that wait for silent members
//   member_contact.hpp           whether silent members answer this agent
//   deadline_queue.hpp           flows that are due for a later check
//   effect_queue.hpp             effects between decision and execution

#include "crowlink/agent/agent.hpp"
#include "crowlink/agent/agent_counts.hpp"
#include "crowlink/agent/agent_effects.hpp"
#include "crowlink/agent/agent_events.hpp"
#include "crowlink/agent/agent_settings.hpp"
#include "crowlink/agent/flow_decision.hpp"
#include "crowlink/agent/flow_refusal.hpp"
#include "crowlink/agent/forward_opening.hpp"
#include "crowlink/agent/load_notice.hpp"
#include "crowlink/agent/opening_counts.hpp"
#include "crowlink/agent/owner_belief.hpp"
#include "crowlink/agent/peer_message.hpp"
#include "crowlink/agent/redirect_notice.hpp"
#include "crowlink/agent/shed_notice.hpp"
