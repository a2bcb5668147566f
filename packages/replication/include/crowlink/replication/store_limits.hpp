#pragma once

#include <chrono>
#include <compare>
#include <cstddef>

namespace crowlink::replication
{

// The limits of a document store's memory; they must be equal on all hosts.
struct store_limits
{
    // Versions whose operation and operator name are kept.
    std::size_t history_versions = 32;
    // Beyond this the oldest documents are dropped; the current one is always
    // kept. A snapshot holds another copy; taking it needs several for a time.
    std::size_t history_bytes = 2 * 1024 * 1024;
    // Operations whose first answer is kept. A retry after that many later
    // operations gets a conflict; it can never take effect twice, because
    // versions only increase.
    std::size_t remembered_answers = 4096;
    std::size_t max_operation_bytes = 128;
    // How long an open flow may live: for so long the store keeps where an
    // address led before. The leader's value applies.
    std::chrono::milliseconds flow_life = std::chrono::hours(1);

    friend auto operator<=>(const store_limits&, const store_limits&) = default;
};

// Rules that only tests disable, to show that they detect their absence.
struct store_rules
{
    // A repeated operation gets its first answer again.
    bool deduplicate = true;
    // An evacuation order with an outdated base revision has no effect.
    bool check_revision = true;

    friend auto operator<=>(const store_rules&, const store_rules&) = default;
};

} // namespace crowlink::replication
