#pragma once

#include "crowlink/base/error.hpp"
#include "crowlink/console/backend_port.hpp"
#include "crowlink/console/change_outcome.hpp"

#include <cstdint>
#include <string>

namespace crowlink::internal
{

enum class drain_action : std::uint8_t
{
    drain,
    undrain,
};

// An operator's wish that an upstream is, or is not, among the drains.
struct drain_request
{
    drain_action action = drain_action::drain;
    upstream_id upstream;
    operation_id operation;
    std::string author;
};

// Reads the newest document, edits its drains and sends it, again from the
// start where somebody else was faster, a bounded number of times. It is sent
// also where nothing changes: only the log knows whether this host's document
// is the newest.
//
// A resend finds the operation in the history and gets its first answer. It
// has at most one effect even while an earlier send is under way: both were
// made from one version, of which the log accepts one change.
result<change_outcome> change_drain(backend_port& backend,
                                    const drain_request& request);

} // namespace crowlink::internal
