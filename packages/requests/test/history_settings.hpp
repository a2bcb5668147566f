#pragma once

#include "crowlink/requests/caller_settings.hpp"

#include <cstdint>
#include <ostream>

namespace crowlink::test
{

// What happens in one random history; probabilities are in percent.
struct history_settings
{
    std::uint64_t seed = 1;
    int loss = 0;
    int duplicates = 0;
    // Of a datagram to reach an agent that does not own its flow.
    int strays = 0;
    int shed = 0;
    int cancels = 0;
    // Of a datagram to be held back for up to 600 ms.
    int late = 0;
    // The longest delay of other datagrams, in milliseconds.
    int delay = 1;
    int agents = 3;
    // Agent restarts, upstream deaths and moves of a flow to another agent.
    int faults = 0;
    // Agents that leave, one after the other, and come back.
    int drains = 0;
    int requests = 60;
    int sessions = 100;
    // How long a caller relies on a ticket unconfirmed, in milliseconds.
    int fresh_for = 100;
    // The shortest deadline, in milliseconds.
    int least_deadline = 20;

    friend std::ostream& operator<<(std::ostream& to,
                                    const history_settings& from)
    {
        return to << "seed " << from.seed << " loss " << from.loss
                  << " duplicates " << from.duplicates << " late " << from.late
                  << " strays " << from.strays << " shed " << from.shed
                  << " cancels " << from.cancels << " delay " << from.delay
                  << " agents " << from.agents << " faults " << from.faults
                  << " drains " << from.drains << " requests " << from.requests
                  << " sessions " << from.sessions << " fresh_for "
                  << from.fresh_for;
    }
};

} // namespace crowlink::test
