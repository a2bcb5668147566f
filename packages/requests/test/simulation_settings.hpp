#pragma once

#include "crowlink/requests/caller_settings.hpp"

#include <cstdint>
#include <ostream>

namespace crowlink::test
{

// Parameters of a random simulation; probabilities are in percent.
struct simulation_settings
{
    std::uint64_t seed = 1;
    int loss = 0;
    int duplicates = 0;
    // Probability that a datagram reaches an agent that does not own its flow.
    int strays = 0;
    int shed = 0;
    int cancels = 0;
    // Probability that a datagram is delayed by up to 600 ms.
    int delayed = 0;
    // Maximum delay of other datagrams, in milliseconds.
    int delay = 1;
    int agents = 3;
    // Number of agent restarts, upstream crashes and moves of a flow to another
    // agent.
    int faults = 0;
    // Number of agents that drain, one after the other, and restart.
    int drains = 0;
    int requests = 60;
    int sessions = 100;
    // Time for which a caller uses an unconfirmed ticket, in milliseconds.
    int ticket_validity = 100;
    // Minimum deadline, in milliseconds.
    int min_deadline = 20;

    friend std::ostream& operator<<(std::ostream& to,
                                    const simulation_settings& from)
    {
        return to << "seed " << from.seed << " loss " << from.loss
                  << " duplicates " << from.duplicates << " delayed "
                  << from.delayed << " strays " << from.strays << " shed "
                  << from.shed << " cancels " << from.cancels << " delay "
                  << from.delay << " agents " << from.agents << " faults "
                  << from.faults << " drains " << from.drains << " requests "
                  << from.requests << " sessions " << from.sessions
                  << " ticket_validity " << from.ticket_validity;
    }
};

} // namespace crowlink::test
