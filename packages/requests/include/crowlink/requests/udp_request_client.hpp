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

// A request_caller on UDP sockets and the steady clock. Each path is a
// connected socket with its own port and hence a flow of its own. Several
// addresses are assigned to the paths in turn. Not thread-safe.
//
//   auto client = udp_request_client::open(settings, {address});
//   client->send({"hold", false, std::chrono::milliseconds(500), body});
//   for (const request_outcome& outcome : client->poll(wait)) ...
class udp_request_client
{
public:
    // Fails with `invalid` if there is no address or no path, and with
    // `unavailable` if a socket cannot be opened.
    static result<udp_request_client>
    open(const caller_settings& settings,
         const std::vector<endpoint>& services);

    udp_request_client(udp_request_client&& other) noexcept;
    udp_request_client& operator=(udp_request_client&& other) noexcept;
    ~udp_request_client();

    // Sends a request without blocking; poll() returns its outcome.
    request_id send(outgoing_request request);

    // Cancels a request; poll() still returns its outcome.
    void cancel(request_id id);

    // Handles expired timers, waits for datagrams until there is an outcome or
    // `max_wait` has passed, and returns the outcomes.
    std::vector<request_outcome> poll(duration max_wait);

    // Returns the number of requests without an outcome.
    std::size_t outstanding() const;

private:
    class impl;

    explicit udp_request_client(std::unique_ptr<impl> opened);

    std::unique_ptr<impl> m_impl;
};

} // namespace crowlink
