#pragma once

#include "control/control_thread.hpp"
#include "crowlink/console/explain_answer.hpp"
#include "crowlink/console/status_report.hpp"

namespace crowlink::internal
{

// Who holds which version, as this control host knows it.
status_report make_status(const control_thread::context& with);

// How a balancer with this host's knowledge would route a flow.
result<explain_answer> make_explanation(const control_thread::context& with,
                                        const flow_key& flow);

} // namespace crowlink::internal
