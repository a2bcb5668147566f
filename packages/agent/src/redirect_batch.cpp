#include "crowlink/agent/redirect_batch.hpp"

#include <algorithm>

namespace crowlink::internal
{

void redirect_batch::add(const redirect_notice& empty, const endpoint& to,
                         const owned_flow& flow)
{
    const auto has_room = [&](const open_notice& open)
    {
        return open.notice.receiver == empty.receiver &&
               open.notice.lifetime == empty.lifetime &&
               open.notice.flows.size() < redirect_notice::max_flows;
    };
    auto found = std::find_if(m_notices.rbegin(), m_notices.rend(), has_room);
    if (found == m_notices.rend())
    {
        m_notices.push_back(open_notice{to, empty});
        found = m_notices.rbegin();
    }
    found->notice.flows.push_back(flow);
}

} // namespace crowlink::internal
