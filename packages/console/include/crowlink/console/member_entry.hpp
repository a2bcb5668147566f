#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/ids.hpp"

#include <compare>
#include <cstdint>
#include <string_view>

namespace crowlink
{

enum class member_role : std::uint8_t
{
    // Counts towards the quorum.
    voter,
    // Catches up before it becomes a voter.
    learner,
    // Holds the document and never votes.
    observer,
};

std::string_view to_string(member_role role);

// One control host.
struct member_entry
{
    host_id host;
    endpoint address;
    member_role role = member_role::voter;
    bool leader = false;
    // Whether the answering host heard from it lately.
    bool reachable = false;

    friend auto operator<=>(const member_entry&, const member_entry&) = default;
};

} // namespace crowlink
