#pragma once

#include "crowlink/membership/observer.hpp"
#include "crowlink/membership/publisher.hpp"

#include <cstdint>
#include <utility>
#include <vector>

namespace crowlink
{

// An observer and a publisher combined in a control host. The changes that the
// observer learns of are published.
class membership_host
{
public:
    membership_host(observer_settings observing, publisher_settings publishing,
                    std::uint64_t seed, time_point now);

    std::vector<membership_send> handle(time_point now, const host_id& from,
                                        const wire::membership_message& in);
    std::vector<membership_send> tick(time_point now);

    // Publishes and returns the output for a message that came through an
    // announcement_filter.
    std::vector<membership_send> take(time_point now, observer_output out);

    void document_changed(publication_pointer next)
    {
        m_publisher.document_changed(std::move(next));
    }
    void document_changed(config_version version, const system_document& next)
    {
        m_publisher.document_changed(version, next);
    }
    void set_document_age(duration age) { m_publisher.set_document_age(age); }
    void set_document_lag(duration lag) { m_publisher.set_document_lag(lag); }
    void evacuations_changed(std::uint64_t revision,
                             std::set<place_id> evacuated)
    {
        m_publisher.evacuations_changed(revision, std::move(evacuated));
    }

    // All control hosts, including this one.
    void set_control_hosts(time_point now,
                           const std::vector<observer_info>& hosts);

    observer& observing() { return m_observer; }
    const observer& observing() const { return m_observer; }
    const publisher& publishing() const { return m_publisher; }

private:
    host_id m_self;
    observer m_observer;
    publisher m_publisher;
};

} // namespace crowlink
