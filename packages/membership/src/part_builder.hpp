#pragma once

#include "crowlink/membership/published_state.hpp"
#include "crowlink/membership/publisher_session.hpp"

#include <membership.pb.h>

#include <cstddef>
#include <map>

namespace crowlink::internal
{

// Fills one part of a stream up to a number of bytes, in order of priority:
// urgent changes, changed shares, the snapshot's declarations and then its
// members, other changes, changed terms.
class part_builder
{
public:
    part_builder(const published_state& state, publisher_session& session,
                 std::size_t limit)
        : m_state(state), m_session(session), m_limit(limit)
    {
    }

    // Returns whether anything was added.
    bool fill(wire::stream_part& part);

private:
    bool full() const { return m_size >= m_limit; }
    void add_changes(const published_state::record_changes& log,
                     std::uint64_t& position, wire::stream_part& part);
    void add_change(const logged_change& change, wire::stream_part& part);
    void add_share_changes(wire::stream_part& part);
    void add_share_change(const share_key& key, wire::stream_part& part);
    bool comes_with_snapshot(service_id service) const;
    void add_terms(wire::stream_part& part);
    void add_terms_of(service_id id, const declaration& held,
                      wire::stream_part& part);
    void add_share(service_id service, const address_share& share,
                   wire::stream_part& part);
    void add_snapshot_declarations(wire::stream_part& part);
    void add_snapshot_members(wire::stream_part& part);
    void add_covered(wire::stream_part& part);
    std::map<record_key, published_record>::const_iterator
    next_member(const record_key& from) const;
    void add_declaration(service_id id, const published_service& held,
                         wire::stream_part& part);
    void add_record(const published_record& held, wire::stream_part& part);
    void end_snapshot(wire::stream_part& part);

    const published_state& m_state;
    publisher_session& m_session;
    std::size_t m_limit;
    std::size_t m_size = 0;
    bool m_added = false;
};

} // namespace crowlink::internal
