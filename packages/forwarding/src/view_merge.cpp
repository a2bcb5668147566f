#include "view_merge.hpp"

#include <algorithm>

namespace crowlink::internal
{

namespace
{

// As many as there are members, so that a late view is known for what it is
// after a replacement of all of them; some more for small services.
constexpr std::size_t departed_least = 8;

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
    const bool is_there = found != records.end() && found->id == id;
    return is_there ? &*found : nullptr;
}

// The members of a view; of two records of an upstream the newer one counts,
// and a record that is older than the one an upstream left with is left out.
std::vector<upstream_record> newest_members(const service_tables& held,
                                            const service_view& view)
{
    std::vector<upstream_record> members;
    members.reserve(view.members.size());
    for (const upstream_record& arrived : view.members)
    {
        const upstream_record* known =
            find_sorted(held.view->members, arrived.id);
        if (known != nullptr)
        {
            members.push_back(newer(*known, arrived) ? *known : arrived);
            continue;
        }
        known = find(held.departed, arrived.id);
        if (known == nullptr || !newer(*known, arrived))
        {
            members.push_back(arrived);
        }
    }
    return members;
}

// Who left: those that had left before and have not come back, and those that
// were members until now.
std::vector<upstream_record>
departed_after(const service_tables& held,
               const std::vector<upstream_record>& members)
{
    std::vector<upstream_record> departed;
    const auto keep_if_absent = [&](const upstream_record& record)
    {
        if (find_sorted(members, record.id) == nullptr)
        {
            departed.push_back(record);
        }
    };
    std::for_each(held.departed.begin(), held.departed.end(), keep_if_absent);
    std::for_each(held.view->members.begin(), held.view->members.end(),
                  keep_if_absent);
    const std::size_t limit = std::max(departed_least, members.size());
    if (departed.size() > limit)
    {
        const auto surplus =
            static_cast<std::ptrdiff_t>(departed.size() - limit);
        departed.erase(departed.begin(), departed.begin() + surplus);
    }
    return departed;
}

// A view as the set keeps it: members sorted, without what only agents need.
service_view kept(const service_view& view)
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
    tables.view = std::make_shared<const service_view>(kept(view));
    tables.current = forwarding_table::build(*tables.view);
    return std::make_shared<const service_tables>(std::move(tables));
}

} // namespace

std::shared_ptr<const service_tables> merged(const service_tables* held,
                                             const service_view& view)
{
    if (held == nullptr)
    {
        return first_tables(view);
    }
    if (view.version < held->view->version)
    {
        return nullptr;
    }
    service_view next = kept(view);
    next.members = newest_members(*held, next);
    if (next == *held->view)
    {
        return nullptr;
    }
    service_tables tables = *held;
    tables.departed = departed_after(*held, next.members);
    tables.view = std::make_shared<const service_view>(std::move(next));
    auto table = forwarding_table::build(*tables.view);
    if (table->digest() != held->current->digest())
    {
        tables.previous = held->current;
        tables.current = std::move(table);
    }
    return std::make_shared<const service_tables>(std::move(tables));
}

} // namespace crowlink::internal
