#pragma once

#include <compare>
#include <cstddef>

namespace crowlink::replication
{

// The bounds of a document store's memory; they must be equal on all hosts.
struct store_limits
{
    // Versions of which it is known who made them.
    std::size_t history_versions = 32;
    // Beyond this the oldest documents go; the current one is always there. A
    // snapshot holds them once more, and several copies while it is taken.
    std::size_t history_bytes = 2 * 1024 * 1024;
    // Operations whose first answer is remembered. A resend after so many later
    // ones gets a conflict; it cannot take effect twice in any case, because
    // versions only rise.
    std::size_t remembered_answers = 4096;
    std::size_t max_operation_bytes = 128;

    friend auto operator<=>(const store_limits&, const store_limits&) = default;
};

// Only tests switch a rule off, to show that they notice.
struct store_rules
{
    // A resent operation gets its first answer again.
    bool deduplicate = true;
    // An order about a data centre that was overtaken changes nothing.
    bool check_revision = true;

    friend auto operator<=>(const store_rules&, const store_rules&) = default;
};

} // namespace crowlink::replication
