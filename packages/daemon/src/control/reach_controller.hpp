#pragma once

#include "control/blackboard.hpp"
#include "crowlink/base/log_sink.hpp"
#include "crowlink/membership/place_watch.hpp"
#include "crowlink/settings/daemon_settings.hpp"
#include "crowlink/transport/datagram_batch.hpp"
#include "crowlink/transport/udp_socket.hpp"

#include <memory>

namespace crowlink::internal
{

// Asks hosts of other data centres whether they are there, answers those that
// ask here, and puts the data centres that are not reached on the blackboard.
class reach_controller
{
public:
    static result<std::unique_ptr<reach_controller>>
    open(const daemon_settings& settings, log_sink& log);

    // Readable when somebody asks.
    int handle() const { return m_answering.handle(); }

    void advance(time_point now, blackboard& board);

private:
    reach_controller(udp_socket answering, udp_socket asking, place_id own,
                     log_sink& log);

    void answer_others();
    void take_answers();
    void follow_hosts(const service_views& views);
    void tell(unreachable_places next, blackboard& board);

    udp_socket m_answering;
    // One of its own, so that answers wake nobody.
    udp_socket m_asking;
    place_id m_own;
    log_sink& m_log;
    datagram_batch m_received;
    place_watch m_watch;
    board_reader<service_views> m_views;
};

} // namespace crowlink::internal
