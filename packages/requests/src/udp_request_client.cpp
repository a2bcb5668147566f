#include "crowlink/requests/udp_request_client.hpp"

#include "crowlink/requests/request_caller.hpp"
#include "udp_socket.hpp"

#include <algorithm>
#include <map>
#include <poll.h>
#include <random>

namespace crowlink
{

namespace
{

// Maximum datagrams received from a socket before the next socket is served.
constexpr int receive_batch_size = 64;

seeded_random seeded_by_system()
{
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device(),
                       device(), device(), device(), device()};
    return seeded_random(seed);
}

} // namespace

class udp_request_client::impl
{
public:
    impl(const caller_settings& settings, std::vector<endpoint> services)
        : m_services(std::move(services))
        , m_caller(settings, seeded_by_system())
    {
    }

    // Returns the socket of a path, which is opened on first use.
    result<internal::udp_socket*> socket_of(path_index path)
    {
        const auto known = m_sockets.find(path);
        if (known != m_sockets.end())
        {
            return &known->second;
        }
        auto opened =
            internal::udp_socket::connect(m_services[path % m_services.size()]);
        if (!opened)
        {
            return tl::unexpected<error>(opened.error());
        }
        return &m_sockets.emplace(path, std::move(*opened)).first->second;
    }

    request_id send(outgoing_request request)
    {
        const request_id id =
            m_caller.submit(m_clock.now(), std::move(request), m_effects);
        perform_effects();
        return id;
    }

    void cancel(request_id id)
    {
        m_caller.cancel(m_clock.now(), id, m_effects);
        perform_effects();
    }

    std::vector<request_outcome> poll(duration max_wait)
    {
        const time_point deadline = m_clock.now() + max_wait;
        do
        {
            receive_all();
            m_caller.advance(m_clock.now(), m_effects);
            perform_effects();
        } while (m_effects.outcomes.empty() && wait(deadline));
        std::vector<request_outcome> outcomes;
        std::swap(outcomes, m_effects.outcomes);
        return outcomes;
    }

    std::size_t outstanding() const { return m_caller.outstanding(); }

private:
    // Waits for a datagram or the next timer. Returns false once `deadline` has
    // passed.
    bool wait(time_point deadline)
    {
        const time_point now = m_clock.now();
        if (now >= deadline)
        {
            return false;
        }
        const time_point wake = std::min(deadline, m_caller.next_wakeup());
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(
            std::max(duration::zero(), wake - now));
        std::vector<pollfd> waited;
        waited.reserve(m_sockets.size());
        for (const auto& entry : m_sockets)
        {
            waited.push_back({entry.second.descriptor(), POLLIN, 0});
        }
        ::poll(waited.data(), waited.size(), static_cast<int>(left.count()));
        return true;
    }

    void receive_all()
    {
        for (auto& entry : m_sockets)
        {
            receive_batch(entry.first, entry.second);
        }
    }

    void receive_batch(path_index path, internal::udp_socket& socket)
    {
        for (int received = 0; received < receive_batch_size; ++received)
        {
            const auto datagram = socket.receive();
            if (!datagram)
            {
                return;
            }
            m_caller.receive(m_clock.now(), path, *datagram, m_effects);
        }
    }

    void perform_effects()
    {
        for (const caller_datagram& datagram : m_effects.datagrams)
        {
            // If no socket can be opened, the datagram is dropped, and the path
            // is replaced after a timeout like any unanswered path.
            if (const auto socket = socket_of(datagram.path))
            {
                (*socket)->send(datagram.bytes);
            }
        }
        m_effects.datagrams.clear();
        for (const path_index path : m_effects.closed)
        {
            m_sockets.erase(path);
        }
        m_effects.closed.clear();
    }

    steady_clock_source m_clock;
    std::vector<endpoint> m_services;
    request_caller m_caller;
    std::map<path_index, internal::udp_socket> m_sockets;
    caller_effects m_effects;
};

result<udp_request_client>
udp_request_client::open(const caller_settings& settings,
                         const std::vector<endpoint>& services)
{
    if (services.empty() || settings.paths == 0)
    {
        return fail(error_kind::invalid, "services",
                    "requires at least one address and one path");
    }
    auto opened = std::make_unique<impl>(settings, services);
    for (path_index path = 0; path < settings.paths; ++path)
    {
        const auto socket = opened->socket_of(path);
        if (!socket)
        {
            return tl::unexpected<error>(socket.error());
        }
    }
    return udp_request_client(std::move(opened));
}

udp_request_client::udp_request_client(std::unique_ptr<impl> opened)
    : m_impl(std::move(opened))
{
}

udp_request_client::udp_request_client(udp_request_client&&) noexcept = default;
udp_request_client&
udp_request_client::operator=(udp_request_client&&) noexcept = default;
udp_request_client::~udp_request_client() = default;

request_id udp_request_client::send(outgoing_request request)
{
    return m_impl->send(std::move(request));
}

void udp_request_client::cancel(request_id id)
{
    m_impl->cancel(id);
}

std::vector<request_outcome> udp_request_client::poll(duration max_wait)
{
    return m_impl->poll(max_wait);
}

std::size_t udp_request_client::outstanding() const
{
    return m_impl->outstanding();
}

} // namespace crowlink
