#pragma once

// The requests module: requests over datagrams with a verdict on whether each
// may have run. A caller's library, an agent's admission in front of its
// upstream, and the memory that lets a request run at most once. No sockets
// but in the thin udp_request_client.
//
//   request_id.hpp, ticket.hpp          what identifies a request and a session
//   answer_reason.hpp, request_answer.hpp   how a request ended
//   open_session.hpp, session_opened.hpp    caller and agent agree on a ticket
//   request_part.hpp, request_cancel.hpp, answer_part.hpp   the exchange
//   run_id.hpp, upstream_run.hpp, upstream_cancel.hpp, upstream_answer.hpp
//                                       the exchange with an upstream
//   message_codec.hpp                   all of them as datagrams
//   part_assembly.hpp                   bodies of several datagrams
//   outgoing_request.hpp, request_outcome.hpp, caller_effects.hpp,
//   caller_settings.hpp, retry_budget.hpp, request_caller.hpp
//                                       the caller's side
//   udp_request_client.hpp              the caller's side bound to sockets
//   memory_limits.hpp, at_most_once.hpp what an agent remembers
//   queue_order.hpp, fair_order.hpp, work_queue.hpp, run_times.hpp
//                                       which request starts next, and when
//   admission_settings.hpp, admission_effects.hpp, admission_counts.hpp,
//   request_admission.hpp               the agent's side

#include "crowlink/requests/message_codec.hpp"
#include "crowlink/requests/request_admission.hpp"
#include "crowlink/requests/request_caller.hpp"
#include "crowlink/requests/udp_request_client.hpp"
