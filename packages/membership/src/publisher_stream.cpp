#include "crowlink/membership/publisher.hpp"

#include "part_builder.hpp"
#include "version_bytes.hpp"

#include <algorithm>
#include <limits>
#include <utility>

// The publisher's streams to its nodes.

namespace crowlink
{

using internal::digest_table;
using internal::publisher_session;
using internal::selection;

namespace
{

// No part is begun while fewer bytes than this may be sent, which keeps the
// share of the framing low.
constexpr double min_part_bytes = 768;

// The time between two calls of tick, and how much of what is sent in a second
// may be saved up between them.
constexpr std::chrono::duration<double> tick_interval(0.1);
constexpr double burst_seconds = 0.25;

std::uint32_t whole_seconds(duration time)
{
    const auto seconds =
        std::chrono::duration_cast<std::chrono::seconds>(time).count();
    return static_cast<std::uint32_t>(seconds);
}

// Saturates, since a document that was never confirmed is very old.
std::uint32_t whole_milliseconds(duration time)
{
    constexpr std::int64_t most = std::numeric_limits<std::uint32_t>::max();
    const auto count =
        std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    return static_cast<std::uint32_t>(std::min<std::int64_t>(count, most));
}

std::uint64_t root_of(const digest_table& digests, const selection& wants)
{
    std::uint64_t root = wants.all_services ? digests.services_total() : 0;
    for (const service_id service : wants.services)
    {
        root += digests.of(service);
    }
    return root;
}

} // namespace

// Returns whether the node is still served.
bool publisher::serve(time_point now, const host_id& node,
                      publisher_session& session,
                      std::vector<membership_send>& out)
{
    if (now - session.heard > m_settings.node_timeout)
    {
        return false;
    }
    const bool lags = m_state.urgent().lost(session.urgent) ||
                      (session.takes_share_changes &&
                       m_state.shares().lost(session.shares)) ||
                      m_state.ordinary().lost(session.ordinary);
    if (lags)
    {
        wire::membership_message ended;
        ended.mutable_ended()->set_stream(session.stream);
        out.push_back(membership_send{node, std::move(ended)});
        return false;
    }
    while (has_news(now, session))
    {
        if (session.rate_limit.available(now) < min_part_bytes)
        {
            return true;
        }
        if (!send_part(now, node, session, out))
        {
            break;
        }
    }
    if (now >= session.next_digest)
    {
        send_digest(now, node, session, out);
    }
    return true;
}

bool publisher::has_news(time_point now, const publisher_session& session) const
{
    // A digest covers all changes, so they are sent before it.
    const time_point due = std::min(session.next_ordinary, session.next_digest);
    const bool is_ordinary_due =
        session.ordinary < m_state.ordinary().end() && now >= due;
    return session.places_due || session.evacuations_due || session.hosts_due ||
           session.snapshot.active ||
           session.complete_version < m_state.version().value() ||
           session.urgent < m_state.urgent().end() || has_share_news(session) ||
           is_ordinary_due;
}

bool publisher::has_share_news(const publisher_session& session) const
{
    return session.takes_share_changes &&
           (session.shares < m_state.shares().end() ||
            session.terms.sent < m_state.terms_version());
}

duration publisher::ordinary_interval() const
{
    using seconds = std::chrono::duration<double>;
    return std::chrono::duration_cast<duration>(
        seconds(static_cast<double>(m_sessions.size()) /
                m_settings.ordinary_messages_per_second));
}

// Raises the rate while the node lacks declarations or shares, so that it has
// the whole version in time.
void publisher::set_pace(time_point now, publisher_session& session) const
{
    const std::uint64_t version = m_state.version().value();
    if (session.declared_version >= version)
    {
        set_usual_pace(now, session);
        return;
    }
    if (!session.pace)
    {
        session.pace.emplace();
        session.pace->begun = now;
    }
    internal::version_pace& pace = *session.pace;
    if (pace.version != version)
    {
        pace.version = version;
        pace.bytes = internal::version_bytes(m_state, session);
    }
    const double usual = m_settings.bytes_per_second;
    const double rate = std::max(usual, version_rate(now, pace));
    const double burst =
        std::max<double>(m_settings.burst_bytes, rate * burst_seconds);
    session.rate_limit.set_rate(rate, burst, now);
}

void publisher::set_usual_pace(time_point now, publisher_session& session) const
{
    if (session.pace)
    {
        session.pace.reset();
        session.rate_limit.set_rate(m_settings.bytes_per_second,
                                    m_settings.burst_bytes, now);
    }
}

double publisher::version_rate(time_point now,
                               const internal::version_pace& pace) const
{
    using seconds = std::chrono::duration<double>;
    const duration waited = now - pace.begun;
    const seconds left = m_settings.version_time - waited;
    const std::size_t bytes = std::max(pace.bytes, m_settings.part_bytes);
    const double wanted =
        static_cast<double>(bytes) / std::max(left, tick_interval).count();
    if (waited >= m_settings.version_limit)
    {
        return wanted;
    }
    const double share = m_settings.version_bytes_per_second /
                         static_cast<double>(m_sessions.size());
    return std::min(wanted, share);
}

// Data centres are sent first, since one entry covers many upstreams. Returns
// whether anything was added.
bool publisher::add_places(publisher_session& session,
                           wire::stream_part& part) const
{
    const bool added = session.places_due || session.evacuations_due;
    if (session.places_due)
    {
        part.set_lost_places_set(true);
        for (const place_id& place : m_lost_places)
        {
            part.add_lost_places(place.value());
        }
    }
    if (session.evacuations_due)
    {
        part.set_evacuations_revision(m_evacuations_revision);
        for (const place_id& place : m_evacuated)
        {
            part.add_evacuated_places(place.value());
        }
    }
    session.places_due = false;
    session.evacuations_due = false;
    return added;
}

// Returns whether there was anything to send.
bool publisher::send_part(time_point now, const host_id& node,
                          publisher_session& session,
                          std::vector<membership_send>& out)
{
    const double tokens = session.rate_limit.available(now);
    const auto limit =
        std::min(static_cast<std::size_t>(tokens), m_settings.part_bytes) -
        framing_bytes;
    wire::membership_message message;
    wire::stream_part& part = *message.mutable_part();
    bool added = add_places(session, part);
    if (session.hosts_due && !m_control_hosts.empty())
    {
        added = true;
        part.set_control_hosts_set(true);
        for (const host_id& host : m_control_hosts)
        {
            part.add_control_hosts(host.value());
        }
    }
    session.hosts_due = false;
    internal::part_builder builder(m_state, session, limit);
    added = builder.fill(part) || added;
    const std::uint64_t version = m_state.version().value();
    const bool has_all_shares = !session.takes_share_changes ||
                                session.shares == m_state.shares().end();
    const bool is_declared =
        !session.snapshot.active || session.snapshot.declarations_done;
    const bool declared = is_declared && has_all_shares &&
                          session.urgent == m_state.urgent().end();
    const bool complete = declared && !session.snapshot.active;
    part.set_declarations_complete(declared);
    part.set_document_complete(complete);
    added = added || (declared && session.declared_version < version) ||
            (complete && session.complete_version < version);
    if (!added)
    {
        return false;
    }
    session.declared_version = declared ? version : session.declared_version;
    session.complete_version = complete ? version : session.complete_version;
    part.set_version(version);
    part.set_stream(session.stream);
    part.set_sequence(++session.sequence);
    const std::size_t size = wire_size(message);
    session.rate_limit.take(size);
    session.bytes += size;
    if (session.pace)
    {
        session.pace->bytes -= std::min(session.pace->bytes, size);
    }
    session.next_digest = now + m_settings.digest_interval;
    if (session.ordinary >= m_state.ordinary().end())
    {
        // Otherwise the message was full, and the rest follows.
        session.next_ordinary = now + ordinary_interval();
    }
    out.push_back(membership_send{node, std::move(message)});
    return true;
}

void publisher::send_digest(time_point now, const host_id& node,
                            publisher_session& session,
                            std::vector<membership_send>& out) const
{
    session.next_digest = now + m_settings.digest_interval;
    wire::membership_message message;
    wire::stream_digest& body = *message.mutable_idle();
    body.set_stream(session.stream);
    body.set_sequence(session.sequence);
    body.set_root(root_of(m_state.digests(), session.wants));
    body.set_version(m_state.version().value());
    body.set_document_seconds(whole_seconds(m_document_age));
    body.set_document_ms(whole_milliseconds(m_document_age));
    for (const region_age& each : m_cut_regions)
    {
        auto& to = *body.add_stale();
        to.set_region(each.region.value());
        to.set_seconds(whole_seconds(each.age));
    }
    const std::size_t size = wire_size(message);
    session.rate_limit.take(size);
    session.bytes += size;
    out.push_back(membership_send{node, std::move(message)});
}

} // namespace crowlink
