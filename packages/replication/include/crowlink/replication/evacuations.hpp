#pragma once

#include "crowlink/base/error.hpp"
#include "crowlink/base/ids.hpp"
#include "crowlink/replication/change_outcome.hpp"
#include "crowlink/replication/evacuation_change.hpp"
#include "crowlink/replication/store_limits.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace crowlink::replication
{

// Who ordered that a data centre is emptied, and when.
struct evacuation
{
    std::string operator_name;
    // Unix milliseconds.
    std::int64_t ordered_at_ms = 0;

    friend auto operator<=>(const evacuation&, const evacuation&) = default;
};

// The data centres whose upstreams get nothing new. State of the replicated
// log beside the document, which replaces nothing of it.
class evacuations
{
public:
    using map_type = std::map<place_id, evacuation>;

    explicit evacuations(store_rules rules = {}) : m_rules(rules) {}

    // Applies a committed order: `applied` where it changed anything,
    // `superseded` where the data centre is as it asks for already, `conflict`
    // where another order came between. The outcome's version is the revision
    // after it.
    change_outcome apply(const evacuation_change& change);

    // The number of orders that were applied or superseded. Those count too
    // that changed nothing: what they confirmed must not be undone by an order
    // that was taken before.
    std::uint64_t revision() const { return m_revision; }
    const map_type& in_force() const { return m_in_force; }

    // The whole state as bytes for a snapshot, and back. The bytes go behind
    // those of the document store, and are read from the two together.
    std::string save() const;
    result<void> load(std::string_view bytes);

private:
    store_rules m_rules;
    std::uint64_t m_revision = 0;
    map_type m_in_force;
};

} // namespace crowlink::replication
