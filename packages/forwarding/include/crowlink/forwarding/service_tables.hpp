#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/forwarding/forwarding_table.hpp"
#include "crowlink/model/service_view.hpp"

#include <cstddef>
#include <memory>
#include <vector>

namespace crowlink
{

// A service in a forwarding set: its view, its table, and the table before.
struct service_tables
{
    std::shared_ptr<const service_view> view;
    std::shared_ptr<const forwarding_table> current;
    // Kept until the current table is replaced; null for a new service.
    std::shared_ptr<const forwarding_table> previous;
    // The last records of members that are gone; late views must not bring
    // older ones back. Bounded: the oldest go first.
    std::vector<upstream_record> departed;

    service_id service() const { return view->declared.id; }

    // The bytes that view and tables take.
    std::size_t memory() const;
};

} // namespace crowlink
