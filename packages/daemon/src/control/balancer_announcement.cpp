#include "control/balancer_announcement.hpp"

#include "process/process_identity.hpp"

namespace crowlink::internal
{

bool shares_rotation(const daemon_settings& settings)
{
    return settings.balancer && settings.host.link_mbps;
}

std::optional<balancer_record>
announced_balancer(const daemon_settings& settings, const endpoint& tunnel)
{
    if (!settings.balancer)
    {
        return std::nullopt;
    }
    // Agents of flow packets answer callers by themselves and need no record.
    if (settings.balancer->mode == port_mode::flow_packets &&
        !shares_rotation(settings))
    {
        return std::nullopt;
    }
    balancer_record record;
    record.id = settings.host.name;
    record.started = fresh_incarnation();
    record.answers = tunnel;
    record.where = settings.host.place;
    record.weight = link_weight(settings.host.link_mbps);
    return record;
}

} // namespace crowlink::internal
