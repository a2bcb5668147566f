#include "crowlink/replication/founding_acceptor.hpp"

namespace crowlink::replication
{

founding_reply founding_acceptor::handle(const founding_request& request)
{
    if (request.ballot >= m_promised)
    {
        m_promised = request.ballot;
        if (request.phase == founding_phase::accept)
        {
            m_accepted = request.ballot;
            m_voters = request.voters;
        }
    }
    return founding_reply{request.phase, request.ballot, m_promised, m_accepted,
                          m_voters};
}

} // namespace crowlink::replication
