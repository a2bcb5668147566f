#pragma once

#include "control/blackboard.hpp"
#include "control/control_links.hpp"
#include "control/node_board.hpp"
#include "crowlink/base/log_sink.hpp"
#include "crowlink/membership/announcement_filter.hpp"
#include "crowlink/membership/membership_host.hpp"

#include <map>
#include <memory>
#include <vector>

namespace crowlink::internal
{

// Lets a key announce what its grant says; without grants everything.
class granted_announcements
{
public:
    explicit granted_announcements(const zap_authenticator* authenticator)
        : m_authenticator(authenticator)
    {
    }

    bool may_announce(const key_identity& key, service_id service) const;

private:
    const zap_authenticator* m_authenticator;
};

// Binds a control host's observer and publisher to links and the document.
class membership_controller
{
public:
    membership_controller(const daemon_settings& settings, control_links& links,
                          const zap_authenticator* authenticator, log_sink& log,
                          std::uint64_t seed, time_point now);

    void handle(time_point now, const inbound_message& message);
    void advance(time_point now, const blackboard& board);

    const membership_host& core() const { return m_core; }
    const node_board& nodes() const { return m_nodes; }

private:
    observer_info info_of(const host_id& host) const;
    void log_expired();
    // Logs when this host becomes, or is no longer, sure of the document.
    void log_publishing(const blackboard& board);
    void note(time_point now, const host_id& node,
              const wire::membership_message& message);
    void send(const std::vector<membership_send>& sends);

    control_links& m_links;
    log_sink& m_log;
    membership_host m_core;
    bool m_is_sure = false;
    announcement_filter<granted_announcements> m_gate;
    board_reader<applied_document> m_document;
    board_reader<applied_evacuations> m_evacuations;
    board_reader<std::vector<host_id>> m_members;
    observer_info m_own;
    // Those that the settings describe.
    std::vector<observer_info> m_named;
    node_board m_nodes;
};

} // namespace crowlink::internal
