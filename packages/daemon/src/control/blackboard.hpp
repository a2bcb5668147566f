#pragma once

#include "control/applied_document.hpp"
#include "control/board_value.hpp"
#include "crowlink/balancer/host_capacity.hpp"
#include "crowlink/base/ids.hpp"
#include "crowlink/base/time.hpp"
#include "crowlink/forwarding/forwarding_set.hpp"
#include "crowlink/model/service_view.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace crowlink::internal
{

// The data centres whose upstreams get nothing new, as this control host has
// applied it.
struct applied_evacuations
{
    std::uint64_t revision = 0;
    std::set<place_id> places;

    friend auto operator<=>(const applied_evacuations&,
                            const applied_evacuations&) = default;
};

// The data centres that this host itself does not reach, and those of them
// whose flows it gives up.
struct unreachable_places
{
    std::set<place_id> all;
    std::set<place_id> given_up;

    friend auto operator<=>(const unreachable_places&,
                            const unreachable_places&) = default;
};

// How far the daemon is on its way to its end.
enum class stop_phase : std::uint8_t
{
    running,
    // Planned: flows are kept, nothing new is taken.
    draining,
    // Records are withdrawn; what is left of the time serves late packets.
    leaving,
};

using service_views = std::map<service_id, std::shared_ptr<const service_view>>;
// What agents want announced; an agent whose upstream was followed by another
// one wants both, until the first is known to be gone.
using wanted_records = std::map<upstream_id, upstream_record>;
using forwarding_snapshot = std::shared_ptr<const forwarding_set>;

// What the controllers of one daemon know. It belongs to the control thread:
// each controller writes the values that are its own, and reads those of the
// others.
struct blackboard
{
    // Written by the document controller.
    board_value<applied_document> document;
    board_value<applied_evacuations> evacuations;
    board_value<duration> document_age;
    // For how long a committed version has waited to be read.
    board_value<duration> document_lag;
    // All members of the replicated log, sorted.
    board_value<std::vector<host_id>> members;
    // Written by the control thread itself, from the settings: hosts to ask
    // for control, beside those that are learned.
    board_value<std::vector<host_id>> seeds;
    // Written by the reach controller.
    board_value<unreachable_places> unreachable;
    // Written by the node controller.
    board_value<service_views> views;
    board_value<config_version> node_version;
    // The living entry hosts of the own data centre and whether control's word
    // on them is current; only where balancers share the rotation.
    board_value<std::vector<host_capacity>> entry_hosts;
    board_value<bool> is_control_current;
    // Written by the agent controller.
    board_value<wanted_records> wanted;
    // Written by the balancer controller.
    board_value<forwarding_snapshot> forwarding;
    // Written by the control thread itself.
    board_value<stop_phase> phase;
};

} // namespace crowlink::internal
