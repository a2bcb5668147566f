#pragma once

#include "crowlink/base/random.hpp"
#include "crowlink/base/time.hpp"
#include "crowlink/membership/membership_send.hpp"
#include "crowlink/membership/place_change.hpp"
#include "crowlink/membership/published_state.hpp"
#include "crowlink/membership/publisher_session.hpp"
#include "crowlink/membership/publisher_settings.hpp"
#include "crowlink/membership/region_age.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace crowlink
{

// Streams to each attached node the parts of the document and the members that
// it subscribes to. The bytes per node are paced and pending changes of one
// item are merged. It sits beside an observer and the replica of the document,
// which report changes to it. The caller calls tick about every 100 ms.
class publisher
{
public:
    publisher(publisher_settings settings, std::uint64_t seed);

    // Ignores a version that is not newer than the one held.
    void document_changed(publication_pointer next);
    // The same for a document of which no publication was made.
    void document_changed(config_version version, const system_document& next);
    void record_changed(time_point now, const upstream_record& record);
    void place_changed(const place_change& change);
    // The data centres whose upstreams get no new flows. Ignores a revision
    // that is not higher than the one held.
    void evacuations_changed(std::uint64_t revision,
                             std::set<place_id> evacuated);

    // All control hosts, including this one. Nodes are informed.
    void set_control_hosts(std::vector<host_id> hosts);

    // The possible age of the document and of the records of regions that are
    // cut off. Nodes are informed with the next digest.
    void set_document_age(duration age) { m_document_age = age; }
    // For how long this host has known of a newer document that it can't
    // publish yet. Attached nodes are not told: no other host would be sooner.
    void set_document_lag(duration lag) { m_document_lag = lag; }
    void set_cut_regions(std::vector<region_age> ages);

    // Until it is ready, a publisher that has a document keeps the requests of
    // nodes without serving them.
    void set_ready(bool ready) { m_ready = ready; }

    // Handles a message of a subscriber; others are ignored.
    std::vector<membership_send> handle(time_point now, const host_id& from,
                                        const wire::membership_message& in);

    std::vector<membership_send> tick(time_point now);

    config_version version() const { return m_state.version(); }
    std::size_t nodes() const { return m_sessions.size(); }
    // Nodes whose requests are kept until they may be served.
    std::size_t waiting() const { return m_waiting.size(); }
    // Whether a node without a document may be served: the publisher is ready
    // and its document was confirmed recently enough.
    bool may_serve_new_nodes() const
    {
        return m_ready && m_document_age <= m_settings.stale_after &&
               m_document_lag <= m_settings.stale_after;
    }
    // The published document and members.
    const internal::published_state& state() const { return m_state; }

    // The bytes sent to a node since it attached.
    std::uint64_t bytes_sent(const host_id& node) const;

private:
    using session_map = std::map<host_id, internal::publisher_session>;

    // A kept request of a node.
    struct waiting_node
    {
        wire::attach wanted;
        time_point since{};
    };

    void handle_attach(time_point now, const host_id& from,
                       const wire::attach& in,
                       std::vector<membership_send>& out);
    bool will_serve() const;
    bool has_room(const host_id& node) const;
    bool may_serve(const wire::attach& wanted) const;
    void start_session(time_point now, const host_id& node,
                       const wire::attach& wanted);
    void serve_waiting(time_point now);
    bool serve(time_point now, const host_id& node,
               internal::publisher_session& session,
               std::vector<membership_send>& out);
    void set_pace(time_point now, internal::publisher_session& session) const;
    void set_usual_pace(time_point now,
                        internal::publisher_session& session) const;
    double version_rate(time_point now,
                        const internal::version_pace& pace) const;
    bool send_part(time_point now, const host_id& node,
                   internal::publisher_session& session,
                   std::vector<membership_send>& out);
    bool has_news(time_point now,
                  const internal::publisher_session& session) const;
    bool has_share_news(const internal::publisher_session& session) const;
    duration ordinary_interval() const;
    bool add_places(internal::publisher_session& session,
                    wire::stream_part& part) const;
    void send_digest(time_point now, const host_id& node,
                     internal::publisher_session& session,
                     std::vector<membership_send>& out) const;

    publisher_settings m_settings;
    internal::published_state m_state;
    session_map m_sessions;
    std::map<host_id, waiting_node> m_waiting;
    std::set<place_id> m_lost_places;
    std::uint64_t m_evacuations_revision = 0;
    std::set<place_id> m_evacuated;
    std::vector<host_id> m_control_hosts;
    std::vector<region_age> m_cut_regions;
    duration m_document_age{};
    duration m_document_lag{};
    bool m_ready = false;
    seeded_random m_random;
};

} // namespace crowlink
