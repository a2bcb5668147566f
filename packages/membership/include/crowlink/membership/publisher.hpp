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

// Sends each attached node what it wants to know of the document and of the
// members, paced in bytes for each node, and merges what waits. It sits beside
// an observer and a holder of the document, which tell it what changed.
// The shell calls tick about every 100 ms.
class publisher
{
public:
    publisher(publisher_settings settings, std::uint64_t seed);

    // Ignores a version that is not newer than the one it has.
    void document_changed(config_version version, const system_document& next);
    void record_changed(time_point now, const upstream_record& record);
    void place_changed(const place_change& change);
    // The data centres whose upstreams get nothing new. Ignores a revision that
    // is not higher than the one it has.
    void evacuations_changed(std::uint64_t revision,
                             std::set<place_id> evacuated);

    // All control hosts, this one included; nodes are told.
    void set_control_hosts(std::vector<host_id> hosts);

    // How old the document and the cut regions' records may be; nodes are told
    // with the next digest.
    void set_document_age(duration age) { m_document_age = age; }
    void set_cut_regions(std::vector<region_age> ages);

    // Until it is ready, a publisher that has a document keeps nodes waiting.
    void set_ready(bool ready) { m_ready = ready; }

    // Takes a message of a subscriber; others are ignored.
    std::vector<membership_send> handle(time_point now, const host_id& from,
                                        const wire::membership_message& in);

    std::vector<membership_send> tick(time_point now);

    config_version version() const { return m_state.version(); }
    std::size_t nodes() const { return m_sessions.size(); }
    // Nodes that asked and may not be served yet.
    std::size_t waiting() const { return m_waiting.size(); }
    // Whether a node that starts anew may be told what is in force.
    bool is_sure() const
    {
        return m_ready && m_document_age <= m_settings.stale_after;
    }
    // What it knows of the document and of the members.
    const internal::published_state& state() const { return m_state; }

    // The bytes sent to a node since it attached.
    std::uint64_t bytes_sent(const host_id& node) const;

private:
    using session_map = std::map<host_id, internal::publisher_session>;

    // What a node asked for, and when.
    struct waiting_node
    {
        wire::attach wanted;
        time_point since{};
    };

    void attached(time_point now, const host_id& from, const wire::attach& in,
                  std::vector<membership_send>& out);
    bool will_serve() const;
    bool has_room(const host_id& node) const;
    bool may_serve(const wire::attach& wanted) const;
    void begin(time_point now, const host_id& node, const wire::attach& wanted);
    void serve_waiting(time_point now);
    bool serve(time_point now, const host_id& node,
               internal::publisher_session& session,
               std::vector<membership_send>& out);
    bool send_part(time_point now, const host_id& node,
                   internal::publisher_session& session,
                   std::vector<membership_send>& out);
    bool has_news(const internal::publisher_session& session) const;
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
    bool m_ready = false;
    seeded_random m_random;
};

} // namespace crowlink
