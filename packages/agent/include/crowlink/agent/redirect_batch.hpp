#pragma once

#include "crowlink/agent/redirect_notice.hpp"
#include "crowlink/base/endpoint.hpp"

#include <vector>

namespace crowlink::internal
{

// Redirects that wait to be sent, batched so that many flows share a message.
class redirect_batch
{
public:
    struct open_notice
    {
        endpoint to;
        redirect_notice notice;
    };

    // Adds a flow to a notice for this agent and lifetime that has room, or to
    // a new one copied from `empty`.
    void add(const redirect_notice& empty, const endpoint& to,
             const owned_flow& flow);

    // The collected notices. The user of the batch removes the notices that it
    // sends.
    std::vector<open_notice>& notices() { return m_notices; }

private:
    std::vector<open_notice> m_notices;
};

} // namespace crowlink::internal
