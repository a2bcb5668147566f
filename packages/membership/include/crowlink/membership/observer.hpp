#pragma once

#include "crowlink/base/metrics.hpp"
#include "crowlink/base/time.hpp"
#include "crowlink/membership/digest_table.hpp"
#include "crowlink/membership/expired_lease.hpp"
#include "crowlink/membership/observed_record.hpp"
#include "crowlink/membership/observer_output.hpp"
#include "crowlink/membership/observer_settings.hpp"
#include "crowlink/membership/peer_liveness.hpp"
#include "crowlink/membership/record_key.hpp"
#include "crowlink/membership/region_age.hpp"

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace crowlink::internal
{
class change_batch;
}

namespace crowlink
{

// Holds the newest record of every upstream and balancer as soft state, and the
// leases of those whose home it is. Observers send each other only changes, and
// digests repair what was missed. A record merges by its version, so that order
// and duplication do not matter. A gone record wins over a living one of the
// same version.
//
// Silence leads to expiry only after the checks described in
// docs/design/membership.md. The caller calls tick about every 100 ms.
class observer
{
public:
    observer(observer_settings settings, time_point now);

    // Handles a message of an announcer or of another observer; others are
    // ignored.
    observer_output handle(time_point now, const host_id& from,
                           const wire::membership_message& in);

    observer_output tick(time_point now);

    // Replaces the set of peers.
    void set_peers(time_point now, std::vector<observer_info> peers);

    // Whether its records are complete enough to publish.
    bool ready() const { return m_ready; }

    // Records that are not gone.
    std::size_t living() const { return m_living; }

    // Leases that this observer keeps, as of the last failure detection.
    std::size_t leases() const;

    // The record of a member, or null if it is unknown.
    const upstream_record* find(service_id service,
                                const upstream_id& id) const;

    // Data centres that are considered lost.
    const std::set<place_id>& lost_places() const { return m_lost_places; }

    // Regions that are cut off, with the age of their records.
    std::vector<region_age> cut_regions(time_point now) const;

    const metrics& counters() const { return m_metrics; }
    // Returns the leases that expired since the last call; at most 256 of them.
    std::vector<expired_lease> take_expired()
    {
        return std::exchange(m_expired, {});
    }

private:
    using table = std::map<internal::record_key, internal::observed_record>;
    struct place_count
    {
        std::size_t living = 0;
        // Silent, including those within a grace period.
        std::size_t silent = 0;
        // Silent for long enough to be expired.
        std::size_t expirable = 0;
        std::size_t own = 0;
        std::size_t own_silent = 0;
    };
    // The status common to all records of one home during one evaluation.
    struct home_status
    {
        bool own = false;
        // Its region is cut off, so its records are kept unchanged.
        bool cut = false;
        bool silent = false;
        // Silent for longer than its announcers need to find a new home, or cut
        // off for longer than records are kept.
        bool orphaned = false;
        std::size_t population = 0;
        std::size_t expired_in_window = 0;
    };

    void handle_announcement(time_point now, const host_id& from,
                             const wire::announcement& in,
                             observer_output& out);
    void handle_renewal(time_point now, const host_id& from,
                        const wire::renewal& in, observer_output& out);
    void handle_changes(time_point now, const wire::observer_changes& in,
                        observer_output& out);
    void handle_heartbeat(time_point now, const host_id& from,
                          const wire::observer_heartbeat& in);
    void handle_digest(time_point now, const host_id& from,
                       const wire::observer_digest& in, observer_output& out);

    bool merge(internal::observed_record next, observer_output& out);
    void end_predecessor(time_point now, const upstream_record& present,
                         observer_output& out);
    void store(internal::observed_record& held, internal::observed_record next,
               observer_output& out);
    void send_changes(observer_output& out);
    void send_heartbeats(time_point now, observer_output& out) const;
    void send_digest(const host_id& to, bool asks, observer_output& out) const;
    void send_next_digest(observer_output& out);
    void request_digests(time_point now, observer_output& out);
    void send_differing(time_point now, const host_id& to,
                        const wire::observer_digest& in, observer_output& out);
    void send_gone(time_point now, const host_id& to,
                   observer_output& out) const;
    static void send_batch(internal::change_batch& batch, const host_id& to,
                           observer_output& out);
    void note_equal_digest(const host_id& from, bool is_ready);
    std::vector<bool> buckets_to_send(const wire::observer_digest& in);
    void extend_leases_after_pause(time_point now);

    void detect_failures(time_point now, observer_output& out);
    void refresh_homes(time_point now);
    home_status& status_of(time_point now, const host_id& home);
    void count_silence(time_point now, internal::observed_record& held);
    void detect_lost_places(time_point now, observer_output& out);
    void report_places(time_point now);
    void place_lost(time_point now, const place_id& where,
                    observer_output& out);
    void place_returned(time_point now, const place_id& where,
                        observer_output& out);
    void expire_silent(time_point now, observer_output& out);
    void note_agent(const upstream_record& before,
                    const upstream_record& after);
    // Removes a record from the indexes and sums beside the table.
    void forget(const upstream_record& record);
    void forget_agent(const upstream_record& record);
    void note_expired(time_point now, const internal::observed_record& held);
    bool may_expire(time_point now, const internal::observed_record& held);
    bool may_be_whole_place(time_point now, const place_id& where) const;
    bool within_cap(time_point now, const internal::observed_record& held,
                    home_status& status) const;
    bool is_expirable(time_point now,
                      const internal::observed_record& held) const;
    bool seems_cut_off(time_point now) const;
    bool purge(time_point now, const internal::observed_record& held) const;

    observer_settings m_settings;
    internal::peer_liveness m_peers;
    table m_records;
    // For each agent the living record that was stored last, or one whose lease
    // expired. There may be other records of the agent, of former upstreams.
    std::map<endpoint, internal::record_key> m_by_agent;
    internal::digest_table m_digests;
    // The sum of hashes of the records whose lease expired, which the digests
    // leave out.
    std::uint64_t m_expired_digest = 0;
    std::size_t m_living = 0;
    // Own changes that were not sent to the peers yet.
    std::set<internal::record_key> m_unsent;
    std::map<host_id, home_status> m_homes;
    std::map<place_id, place_count> m_counts;
    std::map<place_id, time_point> m_own_reports;
    std::set<place_id> m_lost_places;
    std::map<place_id, time_point> m_lost_since;
    std::size_t m_next_peer = 0;
    std::size_t m_first_bucket = 0;
    time_point m_window_start;
    time_point m_started;
    time_point m_last_tick;
    time_point m_next_heartbeat;
    time_point m_next_digest;
    time_point m_next_digest_request;
    // Peers that have just started as well and hold the same records.
    std::set<host_id> m_agreeing;
    time_point m_next_detection;
    bool m_ready = false;
    // Expiry is suspended, since the silence is probably this host's own fault.
    bool m_expiry_suspended = false;
    metrics m_metrics;
    std::vector<expired_lease> m_expired;
};

} // namespace crowlink
