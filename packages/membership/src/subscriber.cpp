#include "crowlink/membership/subscriber.hpp"

#include "crowlink/base/hash.hpp"
#include "crowlink/membership/balancer_record.hpp"
#include "member_codec.hpp"

#include <algorithm>
#include <map>
#include <random>
#include <tuple>
#include <utility>

namespace crowlink
{

using internal::digest_table;
using share_outcome = internal::subscribed_state::share_outcome;

namespace
{

constexpr double min_jitter = 0.5;
constexpr duration purge_every = std::chrono::seconds(60);

// Whether all declarations and shares of the version have come.
bool is_version_complete(const wire::stream_part& in)
{
    return in.declarations_complete() || in.document_complete();
}

std::bitset<digest_table::bucket_count> covered_by(const wire::stream_part& in)
{
    std::bitset<digest_table::bucket_count> covered;
    for (const std::uint32_t bucket : in.covered())
    {
        covered.set(bucket % digest_table::bucket_count);
    }
    return covered;
}

} // namespace

subscriber::subscriber(subscriber_settings settings, std::uint64_t seed,
                       time_point now)
    : m_settings(std::move(settings))
    , m_random(seed)
    , m_backoff(m_settings.backoff_first)
    , m_next_alive(now)
    , m_next_purge(now + purge_every)
    , m_last_heard(now)
{
    order_publishers();
    if (!m_settings.wants.all_services)
    {
        m_subscribed.insert(m_settings.wants.services.begin(),
                            m_settings.wants.services.end());
    }
    for (const place_id& where : m_settings.wants.balancers_in)
    {
        m_subscribed.insert(balancer_group(where));
    }
    for (const place_id& where : m_settings.wants.unlisted_balancers_in)
    {
        m_subscribed.insert(balancer_group(where));
    }
    m_state.set_lists_balancers(!m_settings.wants.balancers_in.empty());
    std::uniform_int_distribution<duration::rep> spread(
        0, m_settings.start_spread.count());
    m_next = now + duration(spread(m_random));
}

std::vector<service_id> subscriber::services() const
{
    std::vector<service_id> out;
    for (const auto& each : m_state.services())
    {
        if (!each.second.removed)
        {
            out.push_back(each.first);
        }
    }
    return out;
}

staleness subscriber::age(time_point now) const
{
    const duration passed = now - m_last_heard;
    staleness out;
    out.publisher = passed;
    out.document = m_document_age + passed;
    for (const region_age& each : m_cut_regions)
    {
        out.regions.push_back(region_age{each.region, each.age + passed});
    }
    return out;
}

subscriber_output subscriber::handle(time_point now, const host_id& from,
                                     const wire::membership_message& in)
{
    subscriber_output out;
    if (m_order.empty() || from != source())
    {
        end_late_stream(from, in, out);
        return out;
    }
    m_bytes += wire_size(in);
    if (in.has_part())
    {
        handle_part(now, in.part());
        collect_changes(out);
    }
    else if (in.has_idle())
    {
        handle_digest(now, in.idle());
    }
    else if (in.has_ended() && in.ended().stream() == m_stream)
    {
        reattach(now);
    }
    else if (in.has_refused() && m_phase == phase::attaching)
    {
        take_control_hosts(in.refused().control_hosts());
        out.control_hosts = std::exchange(m_control_hosts, std::nullopt);
        handle_refusal(now, in.refused().kept());
    }
    return out;
}

// Ends the stream of a publisher that starts to serve a request after the node
// has attached elsewhere. After an outage of all control hosts this affected
// every node at one of three control hosts.
void subscriber::end_late_stream(const host_id& from,
                                 const wire::membership_message& in,
                                 subscriber_output& out)
{
    if (m_phase != phase::attached || !in.has_part())
    {
        return;
    }
    wire::membership_message ended;
    ended.mutable_ended()->set_stream(in.part().stream());
    m_bytes += wire_size(ended);
    out.sends.push_back(membership_send{from, std::move(ended)});
}

void subscriber::handle_part(time_point now, const wire::stream_part& in)
{
    if (m_phase == phase::waiting)
    {
        return;
    }
    const bool begins = m_phase == phase::attaching && in.sequence() == 1;
    if (begins)
    {
        m_phase = phase::attached;
        m_stream = in.stream();
        m_sequence = 0;
        m_last_heard = now;
        m_next_alive = now + m_settings.alive_interval;
    }
    if (m_phase != phase::attached || in.stream() != m_stream ||
        in.sequence() <= m_sequence)
    {
        return;
    }
    m_last_heard = now;
    if (in.sequence() != m_sequence + 1)
    {
        reattach(now);
        return;
    }
    m_sequence = in.sequence();
    apply(now, in);
}

template <class Names>
void subscriber::take_control_hosts(const Names& names)
{
    if (names.empty())
    {
        return;
    }
    m_control_hosts.emplace();
    for (const std::string& name : names)
    {
        m_control_hosts->emplace_back(name);
    }
    m_named_hosts = {m_control_hosts->begin(), m_control_hosts->end()};
}

void subscriber::apply(time_point now, const wire::stream_part& in)
{
    note_version(now, in.version());
    take_control_hosts(in.control_hosts());
    if (in.lost_places_set())
    {
        std::set<place_id> lost;
        for (const std::string& name : in.lost_places())
        {
            lost.emplace(name);
        }
        m_state.set_lost_places(std::move(lost));
    }
    if (in.evacuations_revision() > 0)
    {
        std::set<place_id> evacuated;
        for (const std::string& name : in.evacuated_places())
        {
            evacuated.emplace(name);
        }
        m_state.set_evacuated(in.evacuations_revision(), std::move(evacuated));
    }
    for (const wire::service_declaration& each : in.declared())
    {
        const auto declared = internal::read_service(each);
        if (declared)
        {
            m_state.take_service(*declared, each.removed(), in.version(),
                                 m_stream);
        }
    }
    if (!take_shares(in))
    {
        ++m_reattachments;
        reattach(now);
        return;
    }
    if (in.declarations_end() || in.snapshot_end())
    {
        m_state.sweep_services(in.version(), m_stream, covered_by(in));
    }
    m_has_new_version =
        is_version_complete(in) && m_state.put_in_force(in.version());
    for (const wire::member& each : in.members())
    {
        const auto record = internal::read_member(each, in.places());
        if (record)
        {
            m_state.take_record(now, *record, each.drained(), in.version(),
                                m_stream);
        }
    }
    m_incomplete_service = in.filling();
    if (in.snapshot_end())
    {
        m_state.sweep_members(now, m_stream, covered_by(in));
        ++m_snapshots;
    }
    if (in.document_complete())
    {
        m_applied = std::max(m_applied, config_version(in.version()));
        m_state.set_complete_version(m_applied.value());
    }
}

// False if they do not refer to what is held here: only a whole declaration
// helps then.
bool subscriber::take_shares(const wire::stream_part& in)
{
    std::map<service_id, std::vector<internal::share_update>> updates;
    for (const wire::share_change& each : in.share_changes())
    {
        const auto share = internal::read_share(each.share());
        if (share)
        {
            updates[service_id(each.service())].push_back(
                internal::share_update{*share, each.removed()});
        }
    }
    const internal::share_context context{
        in.version(), m_stream, is_version_complete(in), in.terms_pending()};
    bool fits = true;
    for (auto& [service, changed] : updates)
    {
        const auto outcome =
            m_state.take_shares(service, std::move(changed), context);
        fits = fits && outcome != share_outcome::other_base;
    }
    if (!in.terms_pending())
    {
        m_state.release_terms();
    }
    return fits;
}

void subscriber::handle_digest(time_point now, const wire::stream_digest& in)
{
    if (m_phase != phase::attached || in.stream() != m_stream)
    {
        return;
    }
    m_last_heard = now;
    note_version(now, in.version());
    m_document_age = std::chrono::milliseconds(in.document_ms());
    m_cut_regions.clear();
    for (const wire::stale_region& each : in.stale())
    {
        m_cut_regions.push_back(region_age{
            region_id(each.region()), std::chrono::seconds(each.seconds())});
    }
    if (m_document_age > m_settings.stale_after && now >= m_next_rotation)
    {
        m_next_rotation = now + m_settings.silence_timeout;
        next_publisher(now);
        return;
    }
    if (in.sequence() > m_sequence || in.root() != root())
    {
        ++m_reattachments;
        reattach(now);
        return;
    }
    m_backoff = m_settings.backoff_first;
}

void subscriber::note_version(time_point now, std::uint64_t version)
{
    m_highest = std::max(m_highest, version);
    if (version >= m_highest)
    {
        m_behind_since.reset();
    }
    else if (!m_behind_since)
    {
        m_behind_since = now;
    }
}

std::uint64_t subscriber::root()
{
    const digest_table& digests = m_state.digests();
    std::uint64_t sum =
        m_settings.wants.all_services ? digests.services_total() : 0;
    for (const service_id service : m_subscribed)
    {
        sum += digests.of(service);
    }
    return sum;
}

subscriber_output subscriber::set_unreachable(std::set<place_id> unreachable,
                                              std::set<place_id> given_up)
{
    subscriber_output out;
    m_state.set_unreachable(std::move(unreachable), std::move(given_up));
    collect_changes(out);
    return out;
}

// Whether a view waits for members that are still to come. One that was given
// out does not delay a version: all its views change together.
bool subscriber::lacks_members(service_id service) const
{
    if (m_incomplete_service == 0)
    {
        return false;
    }
    if (m_viewed.count(service) == 0)
    {
        return service.value() >= m_incomplete_service;
    }
    return service.value() == m_incomplete_service && !m_has_new_version;
}

// Adds the views that changed, except for services whose members are still
// being received.
void subscriber::collect_changes(subscriber_output& out)
{
    out.control_hosts = std::exchange(m_control_hosts, std::nullopt);
    const std::set<service_id> changed = m_state.take_changed();
    m_pending.insert(changed.begin(), changed.end());
    for (auto each = m_pending.begin(); each != m_pending.end();)
    {
        if (lacks_members(*each))
        {
            ++each;
            continue;
        }
        auto view = m_state.view(*each);
        if (view)
        {
            m_viewed.insert(*each);
            out.changed.push_back(std::move(*view));
        }
        else if (m_viewed.erase(*each) > 0)
        {
            out.removed.push_back(*each);
        }
        each = m_pending.erase(each);
    }
}

subscriber_output subscriber::tick(time_point now)
{
    subscriber_output out;
    if (m_order.empty())
    {
        return out;
    }
    if (now >= m_next_purge)
    {
        m_next_purge = now + purge_every;
        m_state.purge(now, m_settings.tombstone_life);
    }
    const bool silent = m_phase == phase::attached &&
                        now - m_last_heard > m_settings.silence_timeout;
    const bool unanswered = m_phase == phase::attaching && now >= m_next;
    const bool behind =
        m_behind_since && now - *m_behind_since > m_settings.behind_timeout;
    if (silent || unanswered || behind)
    {
        next_publisher(now);
    }
    if (m_phase == phase::waiting && now >= m_next && choose_publisher())
    {
        attach(now, out);
    }
    if (m_phase == phase::attached && now >= m_next_alive)
    {
        m_next_alive = now + m_settings.alive_interval;
        wire::membership_message message;
        message.mutable_alive()->set_stream(m_stream);
        message.mutable_alive()->set_version(m_applied.value());
        send(std::move(message), out);
    }
    return out;
}

void subscriber::attach(time_point now, subscriber_output& out)
{
    m_phase = phase::attaching;
    m_stream = 0;
    m_next = now + m_settings.answer_timeout;
    wire::membership_message message;
    wire::attach& body = *message.mutable_attach_request();
    body.set_all_services(m_settings.wants.all_services);
    for (const service_id service : m_subscribed)
    {
        body.add_services(service.value());
    }
    for (const std::uint64_t bucket : m_state.digests().buckets())
    {
        body.add_buckets(static_cast<std::uint32_t>(bucket));
    }
    body.set_version(m_applied.value());
    body.set_takes_share_changes(true);
    send(std::move(message), out);
}

// Schedules another attach request to the same publisher, which then sends the
// differences.
void subscriber::reattach(time_point now)
{
    m_phase = phase::waiting;
    m_incomplete_service = 0;
    m_state.drop_staged();
    m_state.release_terms();
    back_off(now);
}

void subscriber::back_off(time_point now)
{
    std::uniform_real_distribution<double> share(min_jitter, 1.0);
    m_next =
        now + std::chrono::duration_cast<duration>(m_backoff * share(m_random));
    m_backoff = std::min(m_backoff * 2, m_settings.backoff_limit);
}

void subscriber::send(wire::membership_message message, subscriber_output& out)
{
    m_bytes += wire_size(message);
    out.sends.push_back(membership_send{source(), std::move(message)});
}

} // namespace crowlink
