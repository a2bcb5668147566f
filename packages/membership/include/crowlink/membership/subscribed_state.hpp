#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/membership/digest_table.hpp"
#include "crowlink/membership/lost_member.hpp"
#include "crowlink/membership/record_key.hpp"
#include "crowlink/membership/returned_member.hpp"
#include "crowlink/membership/share_context.hpp"
#include "crowlink/membership/share_update.hpp"
#include "crowlink/model/service_view.hpp"

#include <algorithm>
#include <bitset>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace crowlink::internal
{

// A record as held by a node.
struct subscribed_record
{
    upstream_record record;
    bool drained = false;
    // The version of the document that the drain mark comes from.
    std::uint64_t drain_version = 0;
    std::uint64_t hash = 0;
    // The stream that contained it last.
    std::uint32_t generation = 0;
    // The record before its lease expired or it was removed as absent. Not set
    // if its end was announced.
    std::optional<upstream_record> last_living_record;
    // When a publisher's snapshot first lacked it.
    std::optional<time_point> absent_since;
    // It is gone only because snapshots lacked it, so the same version may
    // return.
    bool removed_as_absent = false;
    time_point gone_at{};
};

// A service's declaration as held by a node.
struct subscribed_service
{
    // Without addresses once it is removed.
    service declared;
    std::uint64_t version = 0;
    bool removed = false;
    // Stale after a change of shares, until it is needed.
    std::uint64_t hash = 0;
    bool is_hash_stale = false;
    std::uint32_t generation = 0;
    // The stream that said something older than what is held here: what
    // changes there does not refer to this declaration.
    std::uint32_t older_stream = 0;
};

// What a version that is not in force yet says of a service.
struct staged_service
{
    service declared;
    bool removed = false;
    std::uint64_t version = 0;
    // Not set if only shares of the declaration in force change.
    std::optional<std::uint32_t> generation;
};

// The state held by a node. Nothing in it is replaced by an older version.
// Declarations and shares are staged until all of their version have come, and
// put in force together. Until then views show the version before: else some
// flows would be led by the new version and later ones by the old one.
class subscribed_state
{
public:
    // Returns whether the views of this node change.
    bool take_record(time_point now, const upstream_record& record,
                     bool drained, std::uint64_t version,
                     std::uint32_t generation);
    // Stages a declaration. Ignores what is older than the version in force.
    void take_service(const service& declared, bool removed,
                      std::uint64_t version, std::uint32_t generation);
    // Stages some shares of one service. Terms that change alone with a version
    // that is complete need no stage; their views can be held back until more
    // have come.
    enum class share_outcome : std::uint8_t
    {
        taken,
        // The publisher's document is older than what is held here.
        older,
        // They refer to a declaration that is not held here.
        other_base,
    };
    share_outcome take_shares(service_id id, std::vector<share_update> updates,
                              const share_context& context);
    // Stages the removal of the services in the covered buckets that the
    // snapshot did not contain.
    void sweep_services(std::uint64_t version, std::uint32_t generation,
                        const std::bitset<digest_table::bucket_count>& covered);
    // Puts all that is staged in force. Returns whether there was anything.
    bool put_in_force(std::uint64_t version);
    // Forgets what is staged, since the rest of it does not come.
    void drop_staged() { m_staged.clear(); }
    // Makes changed the views that were held back.
    void release_terms();
    bool set_lost_places(std::set<place_id> lost);
    // The data centres that this host does not reach itself, and those of them
    // whose flows are given up.
    bool set_unreachable(std::set<place_id> unreachable,
                         std::set<place_id> given_up);
    // Ignores a revision that is lower than the one held.
    bool set_evacuated(std::uint64_t revision, std::set<place_id> evacuated);

    // Sets the version of the document that is completely applied, drain marks
    // included. Drain marks of older documents are ignored from then on.
    void set_complete_version(std::uint64_t version);

    // Handles the members in the covered buckets that the snapshot did not
    // contain.
    void sweep_members(time_point now, std::uint32_t generation,
                       const std::bitset<digest_table::bucket_count>& covered);

    // Drops gone records older than the given life, and removed services that
    // have no members.
    void purge(time_point now, duration life);

    // Returns the services whose views changed since the last call.
    std::set<service_id> take_changed();

    // Returns the members that were removed, or whose lease was found to have
    // expired, since the last call; at most 256 of them.
    std::vector<lost_member> take_lost() { return std::exchange(m_lost, {}); }

    // Returns the silent members that are heard again since the last call; at
    // most 256 of them.
    std::vector<returned_member> take_returned()
    {
        return std::exchange(m_returned, {});
    }

    // The view of a service that is declared, or that has members though it is
    // not: open flows may be there, so that its members stay known, without an
    // address, until the last one has ended.
    std::optional<service_view> view(service_id id) const;

    // Whether views list the balancers that are known.
    void set_lists_balancers(bool lists) { m_lists_balancers = lists; }
    // The living balancers of a data centre, sorted by name.
    std::vector<upstream_record> balancers(const place_id& where) const;
    // Changes whenever a balancer's record or its data centre's state does.
    std::uint64_t balancers_revision() const { return m_balancers_revision; }

    const std::map<service_id, subscribed_service>& services() const
    {
        return m_services;
    }
    const std::map<record_key, subscribed_record>& records() const
    {
        return m_records;
    }
    const std::set<place_id>& lost_places() const { return m_lost_places; }
    // Hashes first what has changed shares.
    const digest_table& digests();
    std::size_t living() const { return m_living; }

    std::uint64_t evacuations_revision() const
    {
        return m_evacuations_revision;
    }
    const std::set<place_id>& evacuated() const { return m_evacuated; }

private:
    bool is_declared(service_id id) const;
    // Whether the service has a member whose end was not announced.
    bool has_members(service_id id) const;
    bool is_living(const upstream_record& balancer) const;
    bool replace_places(std::set<place_id>& held, std::set<place_id> next);
    void replace_hash(const record_key& key, subscribed_record& held);
    bool is_older(std::uint64_t version) const
    {
        return version < std::max(m_version_in_force, m_complete_version);
    }
    void note_older(service_id id, std::uint32_t stream);
    void stage_shares(service_id id, std::vector<share_update> updates,
                      std::uint64_t version);
    void put_in_force(service_id id, staged_service next);
    void refresh_hash(service_id id, subscribed_service& held);
    void mark_changed(service_id service);
    void mark_undeclared();
    void note_lost(const subscribed_record& held, loss_reason reason,
                   std::uint64_t told_sequence);
    void note_returned(time_point now, const subscribed_record& held,
                       const upstream_record& next);
    std::size_t
    count_absent(std::uint32_t generation,
                 const std::bitset<digest_table::bucket_count>& covered) const;

    std::map<record_key, subscribed_record> m_records;
    std::map<service_id, subscribed_service> m_services;
    std::set<place_id> m_lost_places;
    std::set<place_id> m_unreachable;
    std::set<place_id> m_given_up;
    std::uint64_t m_evacuations_revision = 0;
    std::set<place_id> m_evacuated;
    std::set<service_id> m_changed;
    // Services of which only terms changed and more are to come.
    std::set<service_id> m_changed_terms;
    std::set<service_id> m_stale_hashes;
    std::map<service_id, staged_service> m_staged;
    bool m_lists_balancers = true;
    std::uint64_t m_balancers_revision = 0;
    std::vector<lost_member> m_lost;
    std::vector<returned_member> m_returned;
    digest_table m_digests;
    std::size_t m_living = 0;
    std::uint64_t m_version_in_force = 0;
    std::uint64_t m_complete_version = 0;
};

} // namespace crowlink::internal
