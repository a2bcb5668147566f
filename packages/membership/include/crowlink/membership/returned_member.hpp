#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/base/time.hpp"

#include <compare>
#include <cstdint>

namespace crowlink
{

// A node's decision that a member whose lease expired, or that was absent, is
// heard again.
struct returned_member
{
    service_id service;
    upstream_id id;
    // The sequence of the record as it was known, and of the record that
    // reported its return.
    std::uint64_t known_sequence = 0;
    std::uint64_t told_sequence = 0;
    // How long this node considered the member silent.
    duration silent{};

    friend auto operator<=>(const returned_member&,
                            const returned_member&) = default;
};

} // namespace crowlink
