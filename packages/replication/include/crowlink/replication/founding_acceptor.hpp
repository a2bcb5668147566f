#pragma once

#include "crowlink/replication/founding_reply.hpp"

namespace crowlink::replication
{

// A seed's part in the choice of the initial voters: an acceptor of
// single-decree Paxos (Lamport, 2001). It keeps its state in memory, also on a
// host without a disk; proposers therefore need all seeds to agree, so that a
// decision is known for as long as one seed has not restarted.
class founding_acceptor
{
public:
    founding_reply handle(const founding_request& request);

    bool has_accepted() const { return m_accepted != founding_ballot(); }

private:
    founding_ballot m_promised;
    founding_ballot m_accepted;
    membership m_voters;
};

} // namespace crowlink::replication
