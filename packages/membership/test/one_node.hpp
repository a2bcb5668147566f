#pragma once

#include "crowlink/membership.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace crowlink::test
{

inline constexpr std::uint32_t registre = 1;
inline constexpr std::uint32_t bibliotheque = 2;
inline const host_id node_name("node");

inline route route_at(std::uint32_t number, std::uint32_t to)
{
    route made;
    made.name = "route-" + std::to_string(number);
    const std::array<std::uint8_t, 4> bytes{
        198, 18, static_cast<std::uint8_t>(number >> 8U),
        static_cast<std::uint8_t>(number)};
    made.address = endpoint{ip_address::from_v4(bytes), 443};
    made.shares = {route_share{service_id(to), 1}};
    return made;
}

inline system_document document_of(std::uint32_t routes)
{
    system_document document;
    for (const std::uint32_t number : {registre, bibliotheque})
    {
        service declared;
        declared.id = service_id(number);
        declared.name = "service-" + std::to_string(number);
        document.services.push_back(declared);
    }
    for (std::uint32_t number = 0; number < routes; ++number)
    {
        document.routes.push_back(route_at(number, registre));
    }
    return document;
}

inline system_document drawn_change(system_document document,
                                    seeded_random& random)
{
    const auto draw = [&random](std::size_t most)
    {
        return std::uniform_int_distribution<std::size_t>(0, most)(random);
    };
    for (std::size_t changes = draw(6); changes > 0; --changes)
    {
        auto& routes = document.routes;
        const std::size_t at = draw(routes.size() - 1);
        const std::size_t kind = draw(5);
        if (kind == 0 && routes.size() > 2)
        {
            routes.erase(routes.begin() + static_cast<std::ptrdiff_t>(at));
        }
        else if (kind == 1)
        {
            routes[at].shares = {
                route_share{service_id(registre), 1},
                route_share{service_id(bibliotheque),
                            1U + static_cast<unsigned>(draw(3))}};
        }
        else if (kind == 2)
        {
            routes[at].shares = {route_share{service_id(bibliotheque), 1}};
        }
        else if (kind == 3)
        {
            routes[at].terms.priority = static_cast<unsigned>(draw(9));
        }
        else if (kind == 4)
        {
            document.services[draw(1)].limits.slots =
                1U + static_cast<unsigned>(draw(3));
        }
        else
        {
            const auto number = static_cast<std::uint32_t>(100 + draw(400));
            const route added = route_at(number, registre);
            const bool is_new =
                std::none_of(routes.begin(), routes.end(),
                             [&added](const route& each)
                             { return each.address == added.address; });
            if (is_new)
            {
                routes.push_back(added);
            }
        }
    }
    return document;
}

// Publishers and one node, which asks them in order. Messages arrive at once.
class one_node : public ::testing::Test
{
protected:
    void start(std::size_t publishers)
    {
        m_node_settings.publishers.clear();
        m_node_settings.wants.all_services = true;
        for (std::size_t at = 0; at < publishers; ++at)
        {
            const host_id name("c" + std::to_string(at));
            m_node_settings.publishers.push_back(
                {name, place_id("p"), region_id("r")});
            m_publishers.emplace(name, publisher(m_settings, at + 1));
            m_publishers.at(name).set_ready(true);
        }
        m_node.emplace(m_node_settings, m_node_seed, m_now);
    }

    // The node starts anew with what the publishers have.
    void restart_node()
    {
        m_views.clear();
        m_node.emplace(m_node_settings, ++m_node_seed, m_now);
    }

    // All publishers have the next version.
    void change(const system_document& document)
    {
        ++m_version;
        for (auto& [name, from] : m_publishers)
        {
            from.document_changed(config_version(m_version), document);
        }
    }

    void step()
    {
        m_now += std::chrono::milliseconds(100);
        take(m_node->tick(m_now));
        for (auto& [name, from] : m_publishers)
        {
            deliver(name, from.tick(m_now));
        }
    }

    void run(duration time)
    {
        const time_point end = m_now + time;
        while (m_now < end)
        {
            step();
        }
    }

    void deliver(const host_id& from, const std::vector<membership_send>& sends)
    {
        for (const membership_send& each : sends)
        {
            m_bytes += each.message.ByteSizeLong();
            m_declarations += each.message.part().declared_size();
            take(m_node->handle(m_now, from, each.message));
        }
    }

    void take(const subscriber_output& out)
    {
        for (membership_send each : out.sends)
        {
            if (m_is_older_release)
            {
                each.message.mutable_attach_request()
                    ->clear_takes_share_changes();
            }
            publisher& to = m_publishers.at(each.to);
            deliver(each.to, to.handle(m_now, node_name, each.message));
        }
        for (const service_view& view : out.changed)
        {
            m_views[view.declared.id] = view.declared;
        }
        if (!out.changed.empty())
        {
            views_changed(out);
        }
    }

    virtual void views_changed(const subscriber_output& /*out*/) {}

    // Whether the node's views show these routes.
    bool shows(const system_document& document) const
    {
        for (const service& wanted : with_shares(document))
        {
            const auto found = m_views.find(wanted.id);
            if (found == m_views.end() || found->second != wanted)
            {
                return false;
            }
        }
        return true;
    }

    bool serves(const route& wanted, std::uint32_t at) const
    {
        const auto& shares = m_views.at(service_id(at)).shares;
        return std::any_of(shares.begin(), shares.end(),
                           [&wanted](const address_share& each)
                           { return each.address == wanted.address; });
    }

    time_point m_now{std::chrono::hours(1)};
    publisher_settings m_settings;
    subscriber_settings m_node_settings;
    std::uint64_t m_node_seed = 1;
    std::map<host_id, publisher> m_publishers;
    std::optional<subscriber> m_node;
    std::map<service_id, service> m_views;
    bool m_is_older_release = false;
    std::uint64_t m_version = 0;
    std::size_t m_bytes = 0;
    int m_declarations = 0;
};

} // namespace crowlink::test
