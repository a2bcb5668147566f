#include "view_merge.hpp"

#include <algorithm>

namespace crowlink::internal
{

namespace
{

// As many departed records as members are kept, so that late views are
// recognised after all members are replaced; small services keep at least this
// many.
constexpr std::size_t min_departed_records = 8;

const upstream_record* find(const std::vector<upstream_record>& records,
                            const upstream_id& id)
{
    const auto found = std::find_if(records.begin(), records.end(),
                                    [&id](const upstream_record& record)
                                    { return record.id == id; });
    return found == records.end() ? nullptr : &*found;
}

const upstream_record* find_sorted(const std::vector<upstream_record>& records,
                                   const upstream_id& id)
{
    const auto found = std::lower_bound(
        records.begin(), records.end(), id,
        [](const upstream_record& record, const upstream_id& wanted)
        { return record.id < wanted; });
    const bool is_found = found != records.end() && found->id == id;
    return is_found ? &*found : nullptr;
}

// The members of a view. Of two records of an upstream the newer one is kept; a
// record older than the last one of a departed upstream is ignored.
std::vector<upstream_record> newest_members(const service_tables& stored,
                                            const service_view& view)
{
    std::vector<upstream_record> members;
    members.reserve(view.members.size());
    for (const upstream_record& received : view.members)
    {
        const upstream_record* known =
            find_sorted(stored.view->members, received.id);
        if (known != nullptr)
        {
            members.push_back(newer(*known, received) ? *known : received);
            continue;
        }
        known = find(stored.departed, received.id);
        if (known == nullptr || !newer(*known, received))
        {
            members.push_back(received);
        }
    }
    return members;
}

// The records of departed upstreams: those that departed earlier and have not
// returned, and the stored members that are absent from `members`.
std::vector<upstream_record>
departed_after(const service_tables& stored,
               const std::vector<upstream_record>& members)
{
    std::vector<upstream_record> departed;
    const auto add_if_absent = [&](const upstream_record& record)
    {
        if (find_sorted(members, record.id) == nullptr)
        {
            departed.push_back(record);
        }
    };
    std::for_each(stored.departed.begin(), stored.departed.end(),
                  add_if_absent);
    std::for_each(stored.view->members.begin(), stored.view->members.end(),
                  add_if_absent);
    const std::size_t limit = std::max(min_departed_records, members.size());
    if (departed.size() > limit)
    {
        const auto excess =
            static_cast<std::ptrdiff_t>(departed.size() - limit);
        departed.erase(departed.begin(), departed.begin() + excess);
    }
    return departed;
}

// A view in the form in which the set stores it: members sorted, fields that
// only agents use omitted.
service_view normalized(const service_view& view)
{
    service_view value{view.version, view.declared, view.members, {}};
    std::sort(value.members.begin(), value.members.end(),
              [](const upstream_record& first, const upstream_record& second)
              { return first.id < second.id; });
    return value;
}

std::shared_ptr<const service_tables> first_tables(const service_view& view)
{
    service_tables tables;
    tables.view = std::make_shared<const service_view>(normalized(view));
    tables.current = forwarding_table::build(*tables.view);
    return std::make_shared<const service_tables>(std::move(tables));
}

} // namespace

std::shared_ptr<const service_tables> merge_view(const service_tables* stored,
                                                 const service_view& view)
{
    if (stored == nullptr)
    {
        return first_tables(view);
    }
    if (view.version < stored->view->version)
    {
        return nullptr;
    }
    service_view next = normalized(view);
    next.members = newest_members(*stored, next);
    if (next == *stored->view)
    {
        return nullptr;
    }
    service_tables tables = *stored;
    tables.departed = departed_after(*stored, next.members);
    tables.view = std::make_shared<const service_view>(std::move(next));
    auto table = forwarding_table::build(*tables.view);
    if (table->digest() != stored->current->digest())
    {
        tables.previous = stored->current;
        tables.current = std::move(table);
    }
    return std::make_shared<const service_tables>(std::move(tables));
}

} // namespace crowlink::internal
