#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/model/upstream_record.hpp"

#include <compare>
#include <cstdint>

namespace crowlink
{

// The settings of an agent, fixed at its start. The limits that operators
// declare arrive with the service's view.
struct agent_settings
{
    // The upstream's first record. `started` identifies the upstream's
    // incarnation: an agent that restarts beside a running upstream passes the
    // same number, so that packets still carry its tag.
    upstream_record self;
    // How long after a change of table, or after its own start, an agent looks
    // for the owner of an unknown flow elsewhere before it admits the flow. It
    // must exceed the time in which a change reaches all agents.
    duration settle = std::chrono::seconds(10);
    // How long after its own start beside a running upstream an agent adopts
    // flows that are certainly old and that no other agent knows. It bounds how
    // long a flow may be idle and still survive the restart.
    duration adoption = std::chrono::hours(1);
    // How long a redirect is kept without renewal; owners renew it after a
    // third of this time.
    duration redirect_lifetime = std::chrono::minutes(10);
    // How long an agent remembers that a flow is being placed elsewhere. Longer
    // than a third of the settling time, when a redirect is repeated in case it
    // was lost.
    duration placing_lifetime = std::chrono::seconds(5);
    // The number of a flow's first candidates, 1 to 4, to which its owner sends
    // redirects. With two, the next candidate knows the flow when the first one
    // fails.
    std::uint32_t redirect_copies = 2;
    // Bounds the redirects that are published at one tick, and the flows that
    // are checked for redirects after a change of table.
    std::uint32_t redirects_per_tick = 256;
    std::uint32_t checks_per_tick = 8192;
    // Bounds the stored redirects of other agents.
    std::uint32_t redirects_kept = 65536;
    // Flows without any packet for this long are closed.
    duration udp_idle = std::chrono::hours(4);
    duration tcp_idle = std::chrono::hours(24);
    // For this long after its first view an agent does not take a finished
    // search as proof that no member has a flow: members that restarted with it
    // may not be announced yet. A third of the lease, within which each of them
    // renews it.
    duration members_known_after = std::chrono::seconds(2);
    // Bounds the owner questions at one tick, and the packets that are sent to
    // possible owners. At 50 ms a tick these are 1,280 questions a second and
    // as many answers, which take 2% of a core.
    std::uint32_t questions_per_tick = 64;
    // How long a flow is kept after both ends have finished it.
    duration linger = std::chrono::seconds(10);
    // The delay after which a refused caller may retry.
    duration retry_after = std::chrono::seconds(1);
    // The work for each slot, running work included, at which new flows are
    // rejected; 0 sets no limit. For upstreams whose own queue would delay or
    // refuse requests.
    std::uint32_t work_per_slot = 0;
    // The slots that the upstream announced; 0 when the document declares them.
    std::uint32_t slots = 0;
    // The interval at which load is sent to peers and progress is assessed.
    duration assess = std::chrono::milliseconds(250);
    // With work waiting and none answered for this long, an upstream counts as
    // stalled.
    duration stall_after = std::chrono::seconds(2);
    // How long a permission to shed lasts without renewal.
    duration shed_lifetime = std::chrono::seconds(5);

    friend auto operator<=>(const agent_settings&,
                            const agent_settings&) = default;
};

} // namespace crowlink
