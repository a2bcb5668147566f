#include "crowlink/replication/evacuations.hpp"

#include "replication.pb.h"

#include <utility>

namespace crowlink::replication
{

change_outcome evacuations::apply(const evacuation_change& change)
{
    const bool is_in_requested_state =
        (m_in_force.count(change.where) != 0) == change.evacuates;
    // An order for the present state needs no check of its revision.
    if (!is_in_requested_state && m_rules.check_revision &&
        change.base != m_revision)
    {
        return change_outcome{change_result::conflict,
                              config_version(m_revision),
                              "another evacuation order was applied first"};
    }
    ++m_revision;
    if (is_in_requested_state)
    {
        return change_outcome{
            change_result::superseded, config_version(m_revision), {}};
    }
    if (change.evacuates)
    {
        m_in_force.emplace(change.where, evacuation{change.operator_name,
                                                    change.ordered_at_ms});
    }
    else
    {
        m_in_force.erase(change.where);
    }
    return change_outcome{
        change_result::applied, config_version(m_revision), {}};
}

std::string evacuations::save() const
{
    wire::replication::StoreState out;
    wire::replication::StoredEvacuations& all = *out.mutable_evacuations();
    all.set_revision(m_revision);
    for (const auto& [where, order] : m_in_force)
    {
        wire::replication::StoredEvacuation& stored = *all.add_in_force();
        stored.set_place(where.value());
        stored.set_operator_name(order.operator_name);
        stored.set_ordered_at_ms(order.ordered_at_ms);
    }
    return out.SerializeAsString();
}

result<void> evacuations::load(std::string_view bytes)
{
    wire::replication::StoreState in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    {
        return fail(error_kind::storage, "snapshot",
                    "its evacuations do not parse");
    }
    evacuations loaded(m_rules);
    loaded.m_revision = in.evacuations().revision();
    for (const auto& stored : in.evacuations().in_force())
    {
        loaded.m_in_force.emplace(
            place_id(stored.place()),
            evacuation{stored.operator_name(), stored.ordered_at_ms()});
    }
    *this = std::move(loaded);
    return {};
}

} // namespace crowlink::replication
