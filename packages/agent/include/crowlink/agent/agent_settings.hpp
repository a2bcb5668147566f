#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/model/upstream_record.hpp"

#include <compare>
#include <cstdint>

namespace crowlink
{

// What an agent is told once, at its start. The limits that operators declare
// come with the service's view.
struct agent_settings
{
    // The upstream as it is announced first. `started` identifies the
    // upstream's own life: an agent that restarts beside an upstream that
    // lived on passes the same number, so that packets still carry its tag.
    upstream_record self;
    // For so long after a change of table, or after its own start, an agent
    // looks for the owner of an unknown flow elsewhere before it admits it. It
    // must exceed the time in which a change reaches all agents.
    duration settle = std::chrono::seconds(10);
    // For so long after its own start beside an upstream that lived on, an
    // agent takes up flows that are surely old and that no other agent knows.
    // It bounds how quiet a flow may be and still survive the restart.
    duration adoption = std::chrono::hours(1);
    // How long a redirect is kept without renewal; owners renew at a third.
    duration redirect_lifetime = std::chrono::minutes(10);
    // How long an agent remembers that a flow is being placed elsewhere. Longer
    // than a third of the settling time, when a lost redirect is repeated.
    duration placing_lifetime = std::chrono::seconds(5);
    // To how many of a flow's first candidates its owner publishes, 1 to 4.
    // With two, the next candidate knows the flow when the first one dies.
    std::uint32_t redirect_copies = 2;
    // Bounds the redirects that are published at one tick, and the flows that
    // are looked at for it after a change of table.
    std::uint32_t redirects_per_tick = 256;
    std::uint32_t checks_per_tick = 8192;
    // Bounds the redirects of others that are kept.
    std::uint32_t redirects_kept = 65536;
    // Flows without any packet for so long are closed.
    duration udp_idle = std::chrono::hours(4);
    duration tcp_idle = std::chrono::hours(24);
    // For so long after its first view an agent takes no search for proof that
    // nobody has a flow: members that restarted with it may not be announced
    // yet. The third of a lease within which each of them renews.
    duration members_known_after = std::chrono::seconds(2);
    // Bounds the questions for owners of unknown flows at one tick, and the
    // packets that are sent to those who may have them. At 50 ms a tick 1,280
    // a second, answers as many: a fifth of a tenth of a core.
    std::uint32_t questions_per_tick = 64;
    // A flow that both ends have finished is kept for so long.
    duration linger = std::chrono::seconds(10);
    // A refused caller is told to come back after this.
    duration retry_after = std::chrono::seconds(1);
    // So much work for each slot, what runs included, keeps new flows out; 0
    // sets no bound. For upstreams whose own queue would make requests late or
    // be refused.
    std::uint32_t work_per_slot = 0;
    // Slots as the upstream announced them; 0 where the document declares them.
    std::uint32_t slots = 0;
    // How often load is told to peers and progress is judged.
    duration assess = std::chrono::milliseconds(250);
    // With work waiting and none answered for so long, an upstream counts as
    // stalled.
    duration stall_after = std::chrono::seconds(2);
    // How long leave to shed lasts without renewal.
    duration shed_lifetime = std::chrono::seconds(5);

    friend auto operator<=>(const agent_settings&,
                            const agent_settings&) = default;
};

} // namespace crowlink
