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

// The operator who ordered the evacuation of a data centre, and when.
struct evacuation
{
    std::string operator_name;
    // Unix milliseconds.
    std::int64_t ordered_at_ms = 0;

    friend auto operator<=>(const evacuation&, const evacuation&) = default;
};

// The data centres whose upstreams get no new flows. This state is replicated
// beside the document; a new document does not change it.
class evacuations
{
public:
    using map_type = std::map<place_id, evacuation>;

    explicit evacuations(store_rules rules = {}) : m_rules(rules) {}

    // Applies a committed order. The result is `applied` if it changed the
    // state, `superseded` if the data centre was already in the requested
    // state, and `conflict` if another order was applied since its base
    // revision. The outcome's version is the resulting revision.
    change_outcome apply(const evacuation_change& change);

    // The number of orders that were applied or superseded. Superseded orders
    // count, because an order that was accepted earlier must not undo the state
    // that they confirmed.
    std::uint64_t revision() const { return m_revision; }
    const map_type& in_force() const { return m_in_force; }

    // Serializes the whole state for a snapshot, and restores it. The bytes are
    // appended to those of the document store; load() reads the concatenation.
    std::string save() const;
    result<void> load(std::string_view bytes);

private:
    store_rules m_rules;
    std::uint64_t m_revision = 0;
    map_type m_in_force;
};

} // namespace crowlink::replication
