#include "version_bytes.hpp"

namespace crowlink::internal
{

namespace
{

// Of a changed share with its former services, of a removed service, and of a
// record: what they take at most with the names that are usual.
constexpr std::size_t share_bytes = 64;
constexpr std::size_t removed_bytes = 16;
constexpr std::size_t record_bytes = 64;

std::size_t size_of(const published_service& held)
{
    return held.removed() ? removed_bytes : held.held->bytes;
}

std::size_t snapshot_bytes(const published_state& state,
                           const publisher_session& session)
{
    const snapshot_cursor& cursor = session.snapshot;
    if (!cursor.active || cursor.declarations_done)
    {
        return 0;
    }
    std::size_t sum = 0;
    const auto& services = state.services();
    for (auto held = next_declaration(state, session, cursor.next_declared);
         held != services.end();
         held = next_declaration(state, session,
                                 service_id(held->first.value() + 1)))
    {
        sum += size_of(held->second);
    }
    return sum;
}

} // namespace

const published_service* due_declaration(const published_state& state,
                                         const publisher_session& session,
                                         const logged_change& change)
{
    const auto found = state.services().find(change.key.service);
    if (found == state.services().end())
    {
        return nullptr;
    }
    const published_service& held = found->second;
    const std::uint64_t latest =
        session.takes_share_changes ? held.fixed_change : held.change;
    return latest == change.number ? &held : nullptr;
}

std::map<service_id, published_service>::const_iterator
next_declaration(const published_state& state, const publisher_session& session,
                 service_id from)
{
    const auto& services = state.services();
    auto held = services.lower_bound(session.wants.next(from));
    while (held != services.end() &&
           !(session.wants.contains(held->first) &&
             session.snapshot.covered[bucket_of(held->first, upstream_id())]))
    {
        held = services.lower_bound(
            session.wants.next(service_id(held->first.value() + 1)));
    }
    return held;
}

std::size_t version_bytes(const published_state& state,
                          const publisher_session& session)
{
    std::size_t sum = snapshot_bytes(state, session);
    const auto& urgent = state.urgent();
    for (std::uint64_t at = session.urgent; at < urgent.end(); ++at)
    {
        const logged_change& change = urgent.at(at);
        if (!session.wants.contains(change.key.service))
        {
            continue;
        }
        if (!change.key.id.value().empty())
        {
            sum += record_bytes;
            continue;
        }
        const published_service* due = due_declaration(state, session, change);
        sum += due == nullptr ? 0 : size_of(*due);
    }
    const std::uint64_t shares = state.shares().end() - session.shares;
    return session.takes_share_changes ? sum + shares * share_bytes : sum;
}

} // namespace crowlink::internal
