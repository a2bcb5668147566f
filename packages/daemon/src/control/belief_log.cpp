#include "control/belief_log.hpp"

#include "control/place_names.hpp"
#include "process/process_identity.hpp"

namespace crowlink::internal
{

void belief_log::tell(subscriber& subscribed,
                      const std::vector<announcer>& announcers)
{
    tell_publisher(subscribed);
    tell_evacuations(subscribed.state());
    tell_lost(subscribed.take_lost());
    tell_returned(subscribed.take_returned());
    tell_homes(announcers);
    tell_version(subscribed.applied_version());
}

void belief_log::tell_publisher(const subscriber& subscribed)
{
    const host_id serving =
        subscribed.attached() ? subscribed.source() : host_id();
    if (serving == m_serving)
    {
        return;
    }
    const bool is_lost = serving.value().empty();
    m_log.write(log_line(log_level::info,
                         is_lost ? "publisher_left" : "publisher_attached")
                    .field("host", (is_lost ? m_serving : serving).value())
                    .field("version", subscribed.applied_version().value()));
    m_serving = serving;
}

void belief_log::tell_evacuations(const subscribed_state& known)
{
    if (known.evacuated() == m_evacuated)
    {
        return;
    }
    m_evacuated = known.evacuated();
    m_log.write(log_line(log_level::info, "evacuations_in_force")
                    .field("revision", known.evacuations_revision())
                    .field("places", names_of(m_evacuated))
                    .field("at_ms", wall_clock_ms()));
}

void belief_log::tell_lost(const std::vector<lost_member>& lost)
{
    for (const lost_member& each : lost)
    {
        m_log.write(log_line(log_level::info, "member_lost")
                        .field("upstream", each.id.value())
                        .field("service", each.service.value())
                        .field("reason", to_string(each.reason))
                        .field("known_sequence", each.known_sequence)
                        .field("told_sequence", each.told_sequence));
    }
}

void belief_log::tell_returned(const std::vector<returned_member>& returned)
{
    for (const returned_member& each : returned)
    {
        const auto silent =
            std::chrono::duration_cast<std::chrono::milliseconds>(each.silent);
        m_log.write(log_line(log_level::info, "member_returned")
                        .field("upstream", each.id.value())
                        .field("service", each.service.value())
                        .field("known_sequence", each.known_sequence)
                        .field("told_sequence", each.told_sequence)
                        .field("silent_ms", silent.count()));
    }
}

void belief_log::tell_homes(const std::vector<announcer>& announcers)
{
    for (const announcer& each : announcers)
    {
        if (!each.accepted())
        {
            continue;
        }
        host_id& known = m_homes[each.record().id];
        if (known == each.home())
        {
            continue;
        }
        m_log.write(log_line(log_level::info, "lease_home")
                        .field("upstream", each.record().id.value())
                        .field("observer", each.home().value())
                        .field("before", known.value())
                        .field("sequence", each.record().sequence));
        known = each.home();
    }
}

void belief_log::tell_version(config_version in_force)
{
    if (in_force <= m_version)
    {
        return;
    }
    m_version = in_force;
    m_log.write(log_line(log_level::info, "version_in_force")
                    .field("version", in_force.value())
                    .field("at_ms", wall_clock_ms()));
}

} // namespace crowlink::internal
