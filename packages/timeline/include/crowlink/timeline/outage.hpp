#pragma once

#include "crowlink/timeline/process_life.hpp"

#include <compare>
#include <cstddef>
#include <vector>

namespace crowlink
{

// What counts as processes that were away together.
struct outage_settings
{
    // Processes that start within this of each other belong together. A planned
    // restart of one host after the other leaves more between them.
    duration joined_within = std::chrono::milliseconds(500);
    // Fewer processes make no outage.
    std::size_t least_processes = 3;

    friend auto operator<=>(const outage_settings&,
                            const outage_settings&) = default;
};

// When the processes of one role reached a phase, since the outage began.
struct phase_times
{
    phase reached = phase::started;
    process_role role = process_role::agent;
    duration first{};
    // Of an even number the earlier of the two in the middle.
    duration median{};
    duration last{};
    std::size_t processes = 0;

    friend auto operator<=>(const phase_times&, const phase_times&) = default;
};

// Processes that started again together.
struct outage
{
    // The last line that one of them wrote before its start.
    duration began{};
    std::size_t processes = 0;
    // By phase, then by role; those that nobody reached are left out.
    std::vector<phase_times> phases;

    friend auto operator<=>(const outage&, const outage&) = default;
};

// The outages in the order in which they began.
std::vector<outage> find_outages(const std::vector<process_life>& lives,
                                 const outage_settings& settings);

} // namespace crowlink
