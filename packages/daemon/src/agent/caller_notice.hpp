#pragma once

#include "crowlink/agent/flow_refusal.hpp"
#include "crowlink/base/flow_key.hpp"
#include "crowlink/wire/notice_datagram.hpp"

namespace crowlink::internal
{

// What a caller is told of a flow that an agent refused or ended, as it travels
// to a balancer.
notice_datagram to_notice(const flow_key& flow, const flow_refusal& told);

} // namespace crowlink::internal
