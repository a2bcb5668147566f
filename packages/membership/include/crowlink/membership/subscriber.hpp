#pragma once

#include "crowlink/base/random.hpp"
#include "crowlink/base/time.hpp"
#include "crowlink/membership/staleness.hpp"
#include "crowlink/membership/subscribed_state.hpp"
#include "crowlink/membership/subscriber_output.hpp"
#include "crowlink/membership/subscriber_settings.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace crowlink
{

// The receiving side of distribution, in a node. It attaches to one publisher
// at a time, applies its stream, detects gaps by sequence numbers and digests,
// and fails over to another publisher if the current one is silent or behind.
// Versions held only increase, whichever publisher serves them. The caller
// calls tick about every 100 ms.
class subscriber
{
public:
    subscriber(subscriber_settings settings, std::uint64_t seed,
               time_point now);

    subscriber_output handle(time_point now, const host_id& from,
                             const wire::membership_message& in);

    subscriber_output tick(time_point now);

    // Sets the data centres that this host does not reach itself. Their
    // upstreams count as silent here, whatever the control hosts report. The
    // flows to those in given_up are given up, too.
    subscriber_output set_unreachable(std::set<place_id> unreachable,
                                      std::set<place_id> given_up);

    // Replaces the set of control hosts.
    void set_publishers(time_point now, std::vector<observer_info> publishers);

    // Reports that the connection to a control host broke or was refused. If it
    // is the current publisher, the subscriber fails over without waiting for
    // the silence timeout.
    void connection_lost(time_point now, const host_id& publisher);
    // Reports that a lost connection is back. A node without a publisher
    // attaches at once.
    void connection_made(time_point now, const host_id& publisher);

    // The publisher that the node should rather be attached to now, so that the
    // nodes stay shared out. The caller connects to it and then calls move_to;
    // a lost connection puts this off.
    std::optional<host_id> better_publisher(time_point now) const;
    // Leaves the present publisher for this one, which is connected. What was
    // received is kept, and the next one sends only what differs.
    subscriber_output move_to(time_point now, const host_id& publisher);

    // The newest version of the document that is completely applied here.
    config_version applied_version() const { return m_applied; }

    // The current view of a service, or nothing if it is not declared.
    std::optional<service_view> view(service_id id) const
    {
        return m_state.view(id);
    }

    // The services that are known and declared.
    std::vector<service_id> services() const;

    staleness age(time_point now) const;

    // The publisher that the node is attached to, or asks at present. There
    // must be a control host.
    const host_id& source() const;
    // The control hosts in the node's order of preference.
    const std::vector<host_id>& order() const { return m_order; }
    bool attached() const { return m_phase == phase::attached; }

    // The number of snapshots received completely.
    std::uint64_t snapshots() const { return m_snapshots; }
    // Bytes received and sent, framing included.
    std::uint64_t bytes() const { return m_bytes; }
    const internal::subscribed_state& state() const { return m_state; }
    // Returns the members that were removed, or whose lease was found to have
    // expired, since the last call.
    std::vector<lost_member> take_lost() { return m_state.take_lost(); }
    // Returns the silent members that are heard again since the last call.
    std::vector<returned_member> take_returned()
    {
        return m_state.take_returned();
    }
    // The number of attach requests to the publisher that served the node
    // before, since the node's state differed from that publisher's.
    std::uint64_t reattachments() const { return m_reattachments; }

private:
    enum class phase : std::uint8_t
    {
        waiting,
        attaching,
        attached,
    };

    void end_late_stream(const host_id& from,
                         const wire::membership_message& in,
                         subscriber_output& out);
    void handle_part(time_point now, const wire::stream_part& in);
    void apply(time_point now, const wire::stream_part& in);
    bool take_shares(const wire::stream_part& in);
    template <class Names>
    void take_control_hosts(const Names& names);
    void handle_digest(time_point now, const wire::stream_digest& in);
    void note_version(time_point now, std::uint64_t version);
    bool lacks_members(service_id service) const;
    void collect_changes(subscriber_output& out);
    void attach(time_point now, subscriber_output& out);
    void reattach(time_point now);
    void next_publisher(time_point now);
    bool choose_publisher();
    std::size_t preferred() const;
    void return_later(time_point now);
    bool is_reachable(std::size_t at) const;
    bool is_named(std::size_t at) const;
    void handle_refusal(time_point now, bool kept);
    void back_off(time_point now);
    void order_publishers();
    std::uint64_t root();
    void send(wire::membership_message message, subscriber_output& out);

    subscriber_settings m_settings;
    seeded_random m_random;
    std::vector<host_id> m_order;
    // Subscribed services and balancer groups beside those of all_services.
    std::set<service_id> m_subscribed;
    internal::subscribed_state m_state;
    std::set<service_id> m_pending;
    // The services whose view was given out and not yet removed.
    std::set<service_id> m_viewed;
    // The control hosts that the stream named last, if it named any since they
    // were last put into an output.
    std::optional<std::vector<host_id>> m_control_hosts;
    std::size_t m_source = 0;
    // From when on the node should be attached to the first in its order.
    time_point m_return_at = time_point::max();
    // Control hosts without a connection.
    std::set<host_id> m_disconnected;
    // Control hosts named in the last list from a control host or from a host
    // that knows some.
    std::set<host_id> m_named_hosts;
    // Consecutive refusals by publishers since the last backoff.
    std::size_t m_refusals = 0;
    phase m_phase = phase::waiting;
    std::uint32_t m_stream = 0;
    std::uint32_t m_sequence = 0;
    std::uint32_t m_incomplete_service = 0;
    // Whether the last part put a version in force.
    bool m_has_new_version = false;
    config_version m_applied;
    // The highest version seen, applied or not.
    std::uint64_t m_highest = 0;
    std::optional<time_point> m_behind_since;
    duration m_backoff;
    time_point m_next;
    time_point m_next_alive;
    time_point m_next_purge;
    time_point m_last_heard;
    duration m_document_age{};
    // The earliest time at which a publisher is left again because its document
    // is stale.
    time_point m_next_rotation;
    std::vector<region_age> m_cut_regions;
    std::uint64_t m_snapshots = 0;
    std::uint64_t m_reattachments = 0;
    std::uint64_t m_bytes = 0;
};

} // namespace crowlink
