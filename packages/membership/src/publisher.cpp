#include "crowlink/membership/publisher.hpp"

#include "crowlink/membership/balancer_record.hpp"
#include "part_builder.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace crowlink
{

using internal::digest_table;
using internal::publisher_session;
using internal::selection;

namespace
{

constexpr std::size_t max_listed_services = 65536;

selection selection_of(const wire::attach& in)
{
    selection out;
    out.all_services = in.all_services();
    for (const std::uint32_t service : in.services())
    {
        const service_id id(service);
        if (!out.all_services || is_balancer_group(id))
        {
            out.services.insert(id);
        }
    }
    return out;
}

// Adds the hashes of one service or balancer group to the buckets.
void add_service(const internal::published_state& state, service_id service,
                 digest_table::bucket_array& out)
{
    const auto declared = state.services().find(service);
    if (declared != state.services().end())
    {
        out[internal::bucket_of(service, upstream_id())] +=
            declared->second.hash();
    }
    auto record = state.records().lower_bound(
        internal::record_key{service, upstream_id()});
    for (; record != state.records().end() && record->first.service == service;
         ++record)
    {
        out[internal::bucket_of(service, record->first.id)] +=
            record->second.hash;
    }
}

// The bucket digests of the services and groups that a node subscribes to.
digest_table::bucket_array buckets_of(const internal::published_state& state,
                                      const selection& wants)
{
    digest_table::bucket_array out{};
    if (wants.all_services)
    {
        out = state.digests().service_buckets();
    }
    for (const service_id service : wants.services)
    {
        add_service(state, service, out);
    }
    return out;
}

} // namespace

publisher::publisher(publisher_settings settings, std::uint64_t seed)
    : m_settings(settings)
    , m_state(settings.change_capacity, settings.share_change_capacity,
              settings.tombstone_life)
    , m_random(seed)
{
}

void publisher::document_changed(publication_pointer next)
{
    m_state.set_publication(std::move(next));
}

void publisher::document_changed(config_version version,
                                 const system_document& next)
{
    m_state.set_publication(
        make_publication(version, next, m_state.publication().get()));
}

void publisher::record_changed(time_point now, const upstream_record& record)
{
    m_state.set_record(now, record);
}

void publisher::place_changed(const place_change& change)
{
    if (change.lost)
    {
        m_lost_places.insert(change.where);
    }
    else
    {
        m_lost_places.erase(change.where);
    }
    for (auto& each : m_sessions)
    {
        each.second.places_due = true;
    }
}

void publisher::evacuations_changed(std::uint64_t revision,
                                    std::set<place_id> evacuated)
{
    if (revision <= m_evacuations_revision)
    {
        return;
    }
    m_evacuations_revision = revision;
    m_evacuated = std::move(evacuated);
    for (auto& each : m_sessions)
    {
        each.second.evacuations_due = true;
    }
}

void publisher::set_cut_regions(std::vector<region_age> ages)
{
    m_cut_regions = std::move(ages);
}

std::uint64_t publisher::bytes_sent(const host_id& node) const
{
    const auto found = m_sessions.find(node);
    return found == m_sessions.end() ? 0 : found->second.bytes;
}

std::vector<membership_send>
publisher::handle(time_point now, const host_id& from,
                  const wire::membership_message& in)
{
    std::vector<membership_send> out;
    if (in.has_attach_request())
    {
        handle_attach(now, from, in.attach_request(), out);
        return out;
    }
    const auto found = m_sessions.find(from);
    if (in.has_ended())
    {
        if (found != m_sessions.end() &&
            found->second.stream == in.ended().stream())
        {
            m_sessions.erase(found);
        }
        return out;
    }
    if (!in.has_alive())
    {
        return out;
    }
    if (found != m_sessions.end() &&
        found->second.stream == in.alive().stream())
    {
        found->second.heard = now;
        return out;
    }
    wire::membership_message ended;
    ended.mutable_ended()->set_stream(in.alive().stream());
    out.push_back(membership_send{from, std::move(ended)});
    return out;
}

void publisher::set_control_hosts(std::vector<host_id> hosts)
{
    m_control_hosts = std::move(hosts);
    for (auto& each : m_sessions)
    {
        each.second.hosts_due = true;
    }
}

void publisher::handle_attach(time_point now, const host_id& from,
                              const wire::attach& in,
                              std::vector<membership_send>& out)
{
    const bool is_valid =
        in.services_size() <= static_cast<int>(max_listed_services);
    const bool is_acceptable = is_valid && has_room(from) && will_serve();
    if (is_acceptable && may_serve(in))
    {
        start_session(now, from, in);
        return;
    }
    if (is_acceptable)
    {
        m_waiting[from] = waiting_node{in, now};
    }
    wire::membership_message refused;
    refused.mutable_refused()->set_kept(is_acceptable);
    if (!has_room(from))
    {
        // A node that knows only the hosts of its settings would otherwise ask
        // those few again and again.
        for (const host_id& host : m_control_hosts)
        {
            refused.mutable_refused()->add_control_hosts(host.value());
        }
    }
    out.push_back(membership_send{from, std::move(refused)});
}

// Whether it makes sense for a node to wait for this host: it may serve already
// or has a document. A host whose disk was lost gets the document from another
// one, which may serve long before it.
bool publisher::will_serve() const
{
    return may_serve_new_nodes() || m_state.version() > config_version();
}

bool publisher::has_room(const host_id& node) const
{
    const bool known =
        m_sessions.count(node) != 0 || m_waiting.count(node) != 0;
    return known ||
           m_sessions.size() + m_waiting.size() < m_settings.node_capacity;
}

// A node without a document must not be given one that may have been
// superseded.
bool publisher::may_serve(const wire::attach& wanted) const
{
    return wanted.version() == 0 ? may_serve_new_nodes() : m_ready;
}

void publisher::start_session(time_point now, const host_id& node,
                              const wire::attach& wanted)
{
    m_waiting.erase(node);
    const auto before = m_sessions.find(node);
    const bool known = before != m_sessions.end();
    publisher_session session;
    session.wants = selection_of(wanted);
    session.stream = static_cast<std::uint32_t>(m_random()) | 1U;
    session.rate_limit =
        known ? before->second.rate_limit
              : internal::token_bucket(m_settings.bytes_per_second,
                                       m_settings.burst_bytes, now);
    session.bytes = known ? before->second.bytes : 0;
    session.urgent = m_state.urgent().end();
    session.ordinary = m_state.ordinary().end();
    session.takes_share_changes = wanted.takes_share_changes();
    session.shares = m_state.shares().end();
    session.terms.sent = m_state.version().value();
    session.heard = now;
    session.next_digest = now + m_settings.digest_interval;
    session.snapshot.active = true;
    const auto buckets = buckets_of(m_state, session.wants);
    const bool compared =
        wanted.buckets_size() == static_cast<int>(buckets.size());
    for (std::size_t index = 0; index < buckets.size(); ++index)
    {
        const auto own = static_cast<std::uint32_t>(buckets[index]);
        session.snapshot.covered[index] =
            !compared || wanted.buckets(static_cast<int>(index)) != own;
    }
    m_sessions[node] = std::move(session);
}

// After an outage of all control hosts all nodes ask at once. With their
// requests kept they need not ask repeatedly: each is served at the first tick
// at which this host may serve, and not after a backoff of its own.
void publisher::serve_waiting(time_point now)
{
    std::erase_if(
        m_waiting, [this, now](const auto& each)
        { return now - each.second.since > m_settings.waiting_timeout; });
    std::map<host_id, waiting_node> waiting = std::exchange(m_waiting, {});
    for (auto& [node, each] : waiting)
    {
        if (may_serve(each.wanted))
        {
            start_session(now, node, each.wanted);
            continue;
        }
        m_waiting.emplace(node, std::move(each));
    }
}

std::vector<membership_send> publisher::tick(time_point now)
{
    std::vector<membership_send> out;
    m_state.purge(now);
    serve_waiting(now);
    for (auto each = m_sessions.begin(); each != m_sessions.end();)
    {
        set_pace(now, each->second);
        const bool kept = serve(now, each->first, each->second, out);
        each = kept ? std::next(each) : m_sessions.erase(each);
    }
    return out;
}

} // namespace crowlink
