#include "route_codec.hpp"

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>
#include <vector>

namespace crowlink::replication::internal
{

namespace
{

namespace wire = crowlink::wire::replication;

constexpr std::size_t v4_size = 4;
constexpr std::size_t v4_offset = ip_address::byte_count - v4_size;

void put_number(std::string& out, std::uint64_t value, std::size_t size)
{
    for (std::size_t at = size; at > 0; --at)
    {
        out.push_back(static_cast<char>(value >> (8 * (at - 1))));
    }
}

void put_address(std::string& out, const ip_address& address)
{
    const std::size_t skipped = address.is_v4() ? v4_offset : 0;
    const auto& bytes = address.bytes();
    put_number(out, bytes.size() - skipped, 1);
    out.append(bytes.begin() + static_cast<std::ptrdiff_t>(skipped),
               bytes.end());
}

// Reads fields one after the other; after the first one that is cut off or
// malformed, all are zero.
class route_reader
{
public:
    explicit route_reader(std::string_view bytes) : m_rest(bytes) {}

    bool is_at_end() const { return m_rest.empty(); }
    bool has_failed() const { return m_has_failed; }

    std::uint64_t number(std::size_t size)
    {
        std::uint64_t value = 0;
        for (const char each : take(size))
        {
            value = value << 8U | static_cast<std::uint8_t>(each);
        }
        return value;
    }

    ip_address address()
    {
        const std::uint64_t size = number(1);
        if (size == v4_size)
        {
            std::array<std::uint8_t, v4_size> v4{};
            copy_to(v4);
            return ip_address::from_v4(v4);
        }
        m_has_failed = m_has_failed || size != ip_address::byte_count;
        ip_address::bytes_type all{};
        copy_to(all);
        return ip_address(all);
    }

private:
    std::string_view take(std::size_t size)
    {
        m_has_failed = m_has_failed || m_rest.size() < size;
        if (m_has_failed)
        {
            m_rest = {};
            return {};
        }
        const std::string_view taken = m_rest.substr(0, size);
        m_rest.remove_prefix(size);
        return taken;
    }

    template <class Bytes>
    void copy_to(Bytes& to)
    {
        const std::string_view from = take(to.size());
        std::copy(from.begin(), from.end(), to.begin());
    }

    std::string_view m_rest;
    bool m_has_failed = false;
};

void put_route(std::string& out, const routed_service& route)
{
    put_address(out, route.address.address);
    put_number(out, route.address.port, sizeof(route.address.port));
    put_number(out, static_cast<std::uint8_t>(route.protocol), 1);
    put_number(out, route.service.value(), sizeof(std::uint32_t));
    put_number(out, route.weight, sizeof(route.weight));
}

routed_service read_route(route_reader& in)
{
    routed_service route;
    route.address.address = in.address();
    route.address.port = static_cast<std::uint16_t>(in.number(2));
    route.protocol = static_cast<transport>(in.number(1));
    route.service = service_id(
        static_cast<std::uint32_t>(in.number(sizeof(std::uint32_t))));
    route.weight = static_cast<std::uint32_t>(in.number(sizeof(std::uint32_t)));
    return route;
}

} // namespace

std::string encode_routes(const route_table& routes)
{
    std::string out;
    for (const routed_service& each : routes.routes())
    {
        put_route(out, each);
    }
    return out;
}

route_table decode_routes(std::string_view bytes)
{
    std::vector<routed_service> routes;
    route_reader in(bytes);
    while (!in.is_at_end())
    {
        routes.push_back(read_route(in));
    }
    return in.has_failed() ? route_table() : route_table(std::move(routes));
}

void write_history(const route_history& history, wire::StoredRouting& out)
{
    out.set_routes(encode_routes(history.current()));
    out.set_time_ms(history.time().count());
    std::string former;
    for (const former_route& each : *history.former())
    {
        put_route(former,
                  routed_service{each.address, each.protocol, each.service, 0});
        out.add_changed_at_ms(each.changed_at.count());
    }
    out.set_former(std::move(former));
}

route_history read_history(const wire::StoredRouting& in)
{
    std::vector<former_route> former;
    route_reader routes(in.former());
    for (const std::int64_t changed_at : in.changed_at_ms())
    {
        const routed_service route = read_route(routes);
        former.push_back(former_route{route.address, route.protocol,
                                      route.service,
                                      std::chrono::milliseconds(changed_at)});
    }
    if (routes.has_failed() || !routes.is_at_end())
    {
        former.clear();
    }
    return route_history(decode_routes(in.routes()), std::move(former),
                         std::chrono::milliseconds(in.time_ms()));
}

} // namespace crowlink::replication::internal
