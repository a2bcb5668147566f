#pragma once

#include "crowlink/base/time.hpp"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace crowlink
{

// What a process is there for; of several, the first that applies.
enum class process_role : std::uint8_t
{
    control,
    relay,
    balancer,
    agent,
};

constexpr std::size_t process_roles = 4;

std::string_view to_string(process_role role);

// What a process reaches after its start, in this order where it all does.
enum class phase : std::uint8_t
{
    started,
    // A control host won an election.
    leads,
    // A control host's document is surely the newest.
    confirmed,
    // A node obeys a document of which control is sure.
    in_force,
    // An agent took a flow.
    first_flow,
    // An agent passed an answer on.
    first_answer,
};

constexpr std::size_t phases = 6;

std::string_view to_string(phase reached);

// One process from its start to its next one.
struct process_life
{
    std::string source;
    process_role role = process_role::agent;
    // The last line of the life before; empty for the first one.
    std::optional<duration> away_since;
    // When each phase was reached first, by `phase`.
    std::array<std::optional<duration>, phases> reached;

    duration started() const { return reached[0].value_or(duration::zero()); }

    friend auto operator<=>(const process_life&, const process_life&) = default;
};

} // namespace crowlink
