#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/error.hpp"
#include "crowlink/requests/caller_settings.hpp"
#include "crowlink/requests/outgoing_request.hpp"
#include "crowlink/requests/request_outcome.hpp"

#include <memory>
#include <vector>

namespace crowlink
{

// A request_caller bound to UDP sockets and the machine's clock. Each of its
// paths is one connected socket with a port of its own, hence one flow; with
// several addresses, paths take them in turn. For one thread.
//
//   auto client = udp_request_client::open(settings, {address});
//   client->send({"hold", false, std::chrono::milliseconds(500), body});
//   for (const request_outcome& outcome : client->poll(wait)) ...
class udp_request_client
{
public:
    // Fails if there is no address or a socket can't be had.
    static result<udp_request_client>
    open(const caller_settings& settings,
         const std::vector<endpoint>& services);

    udp_request_client(udp_request_client&& other) noexcept;
    udp_request_client& operator=(udp_request_client&& other) noexcept;
    ~udp_request_client();

    // Sends a request without blocking; its outcome comes from poll().
    request_id send(outgoing_request request);

    // Gives a request up; its outcome still comes from poll().
    void cancel(request_id id);

    // Does what is due, waits for datagrams until there is an outcome or for
    // at most this long, and yields the outcomes.
    std::vector<request_outcome> poll(duration max_wait);

    // Requests without an outcome yet.
    std::size_t outstanding() const;

private:
    class impl;

    explicit udp_request_client(std::unique_ptr<impl> opened);

    std::unique_ptr<impl> m_impl;
};

} // namespace crowlink
