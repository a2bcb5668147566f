#include "crowlink/replication/replica.hpp"

#include "replica_core.hpp"

#include <utility>

namespace crowlink::replication
{

replica::replica(replica_settings settings, durable_state restored,
                 time_point now, seeded_random random, replica_rules rules)
    : m_core(std::make_unique<internal::replica_core>(
          std::move(settings), std::move(restored), now, random, rules))
{
}

replica::replica(replica&&) noexcept = default;
replica& replica::operator=(replica&&) noexcept = default;
replica::~replica() = default;

std::vector<replica_effect> replica::start()
{
    return m_core->start();
}

std::vector<replica_effect> replica::handle(time_point now,
                                            const replica_event& event)
{
    return m_core->handle(now, event);
}

void replica::set_peers(std::vector<host_id> peers)
{
    m_core->set_peers(std::move(peers));
}

bool replica::can_read(time_point now) const
{
    return m_core->can_read(now);
}

replica_status replica::status(time_point now) const
{
    return m_core->status(now);
}

} // namespace crowlink::replication
