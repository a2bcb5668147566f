#pragma once

// The console module: HTTP for operators, a JSON API below /v1 and plain HTML
// forms, each of which produces one validated document. It reaches the
// replicated log and the rest of the system through the operator_backend
// concept alone.
//
//   console.hpp             the HTTP server
//   console_settings.hpp    where it listens, its limits and its files
//   operator_backend.hpp    what the console needs of the system
//   backend_port.hpp        the backend with its type erased
//   operator_tokens.hpp     who may sign in
//   minted_token.hpp        a new operator's token and its stored hash
//   versioned_document.hpp  a document and the version it has
//   change_request.hpp      one change of the document
//   change_outcome.hpp      what became of it
//   history_entry.hpp       one change of the past
//   status_report.hpp       who holds which version
//   node_status.hpp         one node in it
//   upstream_status.hpp     one upstream in it
//   member_entry.hpp        one control host
//   member_change.hpp       a change of the control hosts
//   explain_answer.hpp      how a flow would be routed
//   readiness.hpp           whether this host can serve

#include "crowlink/console/backend_port.hpp"
#include "crowlink/console/change_outcome.hpp"
#include "crowlink/console/change_request.hpp"
#include "crowlink/console/console.hpp"
#include "crowlink/console/console_settings.hpp"
#include "crowlink/console/explain_answer.hpp"
#include "crowlink/console/history_entry.hpp"
#include "crowlink/console/member_change.hpp"
#include "crowlink/console/member_entry.hpp"
#include "crowlink/console/minted_token.hpp"
#include "crowlink/console/node_status.hpp"
#include "crowlink/console/operator_backend.hpp"
#include "crowlink/console/operator_tokens.hpp"
#include "crowlink/console/readiness.hpp"
#include "crowlink/console/status_report.hpp"
#include "crowlink/console/upstream_status.hpp"
#include "crowlink/console/versioned_document.hpp"
