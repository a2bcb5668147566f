#include "crowlink/membership/announcer.hpp"

#include "crowlink/model/unreported_start.hpp"
#include "member_codec.hpp"
#include "observer_order.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace crowlink
{

namespace
{

constexpr int attempts_per_observer = 2;
constexpr unsigned random_bits_in_incarnation = 16;
constexpr double min_jitter = 0.75;
constexpr double max_jitter = 1.0;

} // namespace

incarnation first_incarnation(std::uint64_t wall_clock_ms,
                              std::uint64_t random_bits)
{
    const std::uint64_t mask = (1U << random_bits_in_incarnation) - 1U;
    return incarnation((wall_clock_ms << random_bits_in_incarnation) |
                       (random_bits & mask));
}

announcer::announcer(announcer_settings settings, upstream_record first,
                     std::uint64_t seed, time_point now)
    : m_settings(std::move(settings))
    , m_record(std::move(first))
    , m_given_start(m_record.started)
    , m_random(seed)
    , m_backoff(m_settings.backoff_first)
{
    order_observers();
    std::uniform_int_distribution<duration::rep> spread(
        0, m_settings.start_spread.count());
    m_next = now + duration(spread(m_random));
    m_return_at = now + m_settings.return_after;
}

const host_id& announcer::home() const
{
    return m_order[m_home];
}

void announcer::set_observers(std::vector<observer_info> observers)
{
    const host_id before = m_order.empty() ? host_id() : home();
    const host_id announced_to =
        m_order.empty() ? host_id() : m_order[m_announced_to];
    const host_id preferred = m_order.empty() ? host_id() : m_order.front();
    m_settings.observers = std::move(observers);
    order_observers();
    m_home = internal::index_in(m_order, before);
    m_announced_to = internal::index_in(m_order, announced_to);
    const bool moved = m_order.empty() || home() != before;
    if (moved)
    {
        // The home is no longer a control host; another observer is asked at
        // once.
        m_announced = false;
        m_waiting_answer = false;
        m_accepted = false;
        m_next = time_point();
    }
    const bool spreads = m_order.size() > m_settings.spread_above;
    if (spreads && m_order.front() != preferred)
    {
        m_return_at = time_point();
    }
}

void announcer::order_observers()
{
    m_order = internal::preference_order(m_record.id.value(), m_settings.region,
                                         m_settings.observers);
}

std::vector<membership_send>
announcer::handle(time_point now, const host_id& from,
                  const wire::membership_message& in)
{
    if (!in.has_answer() || m_superseded || from != home())
    {
        return {};
    }
    const wire::announcement_answer& answer = in.answer();
    const bool is_current = answer.id() == m_record.id.value() &&
                            answer.started() == m_record.started.value() &&
                            answer.sequence() == m_record.sequence;
    return is_current ? handle_answer(now, answer)
                      : std::vector<membership_send>{};
}

std::vector<membership_send>
announcer::handle_answer(time_point now, const wire::announcement_answer& in)
{
    m_waiting_answer = false;
    m_attempts = 0;
    m_failed_observers = 0;
    m_forbidden = in.status() == wire::ANNOUNCEMENT_FORBIDDEN;
    m_is_home_isolated = in.isolated();
    switch (in.status())
    {
    case wire::ANNOUNCEMENT_UNKNOWN:
        ++m_record.sequence;
        return announce(now);
    case wire::ANNOUNCEMENT_OLDER:
        return handle_older(now, in);
    case wire::ANNOUNCEMENT_FORBIDDEN:
        m_accepted = false;
        m_next = now + jittered(m_settings.backoff_limit);
        return {};
    default:
        break;
    }
    m_accepted = true;
    m_ever_accepted = true;
    m_is_start_refused = false;
    m_sequence_step = first_sequence_step;
    m_backoff = m_settings.backoff_first;
    m_next = now + jittered(m_settings.renewal_interval);
    return {};
}

std::vector<membership_send>
announcer::handle_older(time_point now, const wire::announcement_answer& in)
{
    if (!m_settings.raises_incarnation)
    {
        return handle_older_start(now, in);
    }
    if (m_ever_accepted)
    {
        m_superseded = true;
        return {};
    }
    // The wall clock was set back since the last start.
    m_record.started = incarnation(in.newest_started() + 1);
    return announce(now);
}

// The record is that of an upstream, whose incarnation is its own start.
std::vector<membership_send>
announcer::handle_older_start(time_point now,
                              const wire::announcement_answer& in)
{
    m_accepted = false;
    const bool is_unreported = m_record.started.value() == unreported_start;
    if (!m_ever_accepted && in.newest_started() == m_record.started.value())
    {
        // The wall clock was set back since an earlier agent of this upstream
        // announced it. The answer does not name the sequence to exceed.
        m_record.sequence += m_sequence_step;
        m_sequence_step *= 2;
        return announce(now);
    }
    if (m_ever_accepted || is_unreported ||
        m_record.state == upstream_state::gone)
    {
        // Waits until the upstream reports its start.
        m_next = now + jittered(m_settings.backoff_limit);
        return {};
    }
    if (!m_is_start_refused)
    {
        // The start may be that of an ended incarnation, whose last message
        // came late: the present one announces itself within this time.
        m_is_start_refused = true;
        m_next = now + jittered(m_settings.renewal_interval);
        return {};
    }
    // The clock of the upstream's host was set back, or an agent of an earlier
    // release raised the incarnation: without this the upstream would get no
    // flow for as long as observers remember the later one.
    m_record.started = incarnation(in.newest_started() + 1);
    return announce(now);
}

std::vector<membership_send> announcer::tick(time_point now)
{
    const bool ended = m_accepted && m_record.state == upstream_state::gone;
    if (m_superseded || ended || m_order.empty() || now < m_next)
    {
        return {};
    }
    if (m_waiting_answer && m_attempts >= attempts_per_observer)
    {
        fail_over(now);
        return {};
    }
    if (m_home != 0 && m_accepted && now >= m_return_at)
    {
        m_home = 0;
        m_return_at = now + jittered(m_settings.return_after);
        m_attempts = 0;
        return announce(now);
    }
    if (m_accepted && m_is_home_isolated)
    {
        choose_next_home(now);
        return announce(now);
    }
    return m_accepted ? renew(now) : announce(now);
}

std::vector<membership_send>
announcer::change(time_point now, upstream_state state, std::uint32_t weight)
{
    m_record.state = state;
    m_record.weight = weight;
    ++m_record.sequence;
    m_attempts = 0;
    if (m_superseded || m_order.empty())
    {
        return {};
    }
    return announce(now);
}

std::vector<membership_send> announcer::restart(time_point now,
                                                const upstream_record& record)
{
    const std::uint64_t next = m_record.sequence + 1;
    m_record = record;
    m_record.sequence = std::max(record.sequence, next);
    m_given_start = record.started;
    m_ever_accepted = false;
    m_superseded = false;
    m_is_start_refused = false;
    m_sequence_step = first_sequence_step;
    m_attempts = 0;
    if (m_order.empty())
    {
        return {};
    }
    return announce(now);
}

std::vector<membership_send> announcer::announce(time_point now)
{
    // The record contains its home, so a new home needs a new version.
    if (m_announced && m_announced_to != m_home)
    {
        ++m_record.sequence;
    }
    m_announced = true;
    m_announced_to = m_home;
    m_accepted = false;
    m_waiting_answer = true;
    ++m_attempts;
    m_next = now + m_settings.answer_timeout;
    wire::membership_message message;
    auto& body = *message.mutable_announce();
    internal::write_member(m_record, *body.mutable_places(),
                           *body.mutable_record());
    return send(std::move(message));
}

std::vector<membership_send> announcer::renew(time_point now)
{
    m_waiting_answer = true;
    ++m_attempts;
    m_next = now + m_settings.answer_timeout;
    wire::membership_message message;
    auto& body = *message.mutable_renew();
    body.set_service(m_record.service.value());
    body.set_id(m_record.id.value());
    body.set_started(m_record.started.value());
    body.set_sequence(m_record.sequence);
    return send(std::move(message));
}

void announcer::fail_over(time_point now)
{
    m_waiting_answer = false;
    m_accepted = false;
    m_attempts = 0;
    choose_next_home(now);
    if (++m_failed_observers >= m_order.size())
    {
        m_failed_observers = 0;
        m_next = now + jittered(m_backoff);
        m_backoff = std::min(m_backoff * 2, m_settings.backoff_limit);
    }
}

void announcer::choose_next_home(time_point now)
{
    m_is_home_isolated = false;
    m_home = (m_home + 1) % m_order.size();
    m_return_at = now + jittered(m_settings.return_after);
}

duration announcer::jittered(duration time)
{
    std::uniform_real_distribution<double> share(min_jitter, max_jitter);
    return std::chrono::duration_cast<duration>(time * share(m_random));
}

std::vector<membership_send>
announcer::send(wire::membership_message message) const
{
    std::vector<membership_send> out;
    out.push_back(membership_send{home(), std::move(message)});
    return out;
}

} // namespace crowlink
