#pragma once

// The requests module: requests over datagrams, each with a verdict on whether
// it may have run. Consists of the caller's library, the admission control of
// an agent in front of its upstream, and the duplicate detection that lets a
// request run at most once. Only udp_request_client uses sockets.
//
//   request_id.hpp, ticket.hpp          identifiers of requests and sessions
//   answer_reason.hpp, request_answer.hpp   outcome of a request
//   open_session.hpp, session_opened.hpp    exchange for a ticket
//   request_part.hpp, request_cancel.hpp, answer_part.hpp
//                                       messages of a request
//   run_id.hpp, upstream_run.hpp, upstream_cancel.hpp, upstream_answer.hpp
//                                       messages to and from an upstream
//   message_codec.hpp                   encoding as datagrams
//   part_assembly.hpp                   reassembly of bodies
//   outgoing_request.hpp, request_outcome.hpp, caller_effects.hpp,
//   caller_settings.hpp, retry_budget.hpp, request_caller.hpp
//                                       the caller's side
//   udp_request_client.hpp              the caller's side on UDP sockets
//   memory_limits.hpp, at_most_once.hpp duplicate detection of an agent
//   queue_order.hpp, fair_order.hpp, work_queue.hpp, run_times.hpp
//                                       scheduling of queued requests
//   admission_settings.hpp, admission_effects.hpp, admission_counts.hpp,
//   request_admission.hpp               the agent's side

#include "crowlink/requests/message_codec.hpp"
#include "crowlink/requests/request_admission.hpp"
#include "crowlink/requests/request_caller.hpp"
#include "crowlink/requests/udp_request_client.hpp"
