#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/forwarding/forwarding_table.hpp"
#include "crowlink/model/service_view.hpp"

#include <cstddef>
#include <memory>
#include <vector>

namespace crowlink
{

// A service in a forwarding set: its view and its current and previous tables.
struct service_tables
{
    std::shared_ptr<const service_view> view;
    std::shared_ptr<const forwarding_table> current;
    // Kept until the current table is replaced; null for a new service.
    std::shared_ptr<const forwarding_table> previous;
    // The last records of members that left, so that late views do not restore
    // older records. Bounded: the oldest record is evicted first.
    std::vector<upstream_record> departed;

    service_id service() const { return view->declared.id; }

    // Memory of the view and the tables, in bytes.
    std::size_t memory() const;
};

} // namespace crowlink
