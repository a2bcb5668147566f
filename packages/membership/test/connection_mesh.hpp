#pragma once

#include "crowlink/membership.hpp"

#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace crowlink::test
{

// Control hosts that are up or down, and nodes whose connections to them stand
// or are refused at once. Messages pass over standing connections within a
// step. Nodes start with the first three control hosts.
class connection_mesh
{
public:
    static constexpr duration step_time = std::chrono::milliseconds(50);

    // `capacity` nodes are served by one control host at most.
    connection_mesh(std::size_t nodes, std::size_t hosts,
                    std::size_t capacity = publisher_settings().node_capacity)
        : m_capacity(capacity)
    {
        for (std::size_t at = 0; at < hosts; ++at)
        {
            m_infos.push_back({host_id(fmt::format("control-{}", at)),
                               place_id("p"), region_id("r")});
        }
        for (const observer_info& info : m_infos)
        {
            m_hosts.push_back({info, make_host(info), true, 0});
        }
        for (std::size_t number = 0; number < nodes; ++number)
        {
            m_nodes.push_back(std::make_unique<node>(
                number, std::vector(m_infos.begin(), m_infos.begin() + 3),
                m_now));
            m_by_name.emplace(m_nodes.back()->id, m_nodes.back().get());
        }
    }

    // A host that is up again knows nothing.
    void set_up(std::size_t at, bool is_up)
    {
        m_hosts[at].is_up = is_up;
        m_hosts[at].core = make_host(m_infos[at]);
    }

    void run(duration time)
    {
        for (duration passed{}; passed < time; passed += step_time)
        {
            step();
        }
    }

    void step()
    {
        m_now += step_time;
        for (control& each : m_hosts)
        {
            if (each.is_up)
            {
                send(each.info.id, each.core->tick(m_now));
            }
        }
        for (const auto& each : m_nodes)
        {
            advance(*each);
        }
        note_moves();
        deliver();
    }

    // Nodes whose stream comes from a host that is up.
    std::size_t attached() const
    {
        std::size_t count = 0;
        for (std::size_t at = 0; at < m_hosts.size(); ++at)
        {
            count += streams_at(at);
        }
        return count;
    }

    std::size_t streams_at(std::size_t host) const
    {
        return count_nodes(
            [&](const node& each)
            {
                return m_hosts[host].is_up && each.subscribed.attached() &&
                       each.subscribed.source() == m_infos[host].id;
            });
    }

    std::size_t leases_at(std::size_t host) const
    {
        return count_nodes(
            [&](const node& each)
            {
                return each.announced.accepted() &&
                       each.announced.home() == m_infos[host].id;
            });
    }

    std::size_t connections_at(std::size_t host) const
    {
        return count_nodes([&](const node& each)
                           { return each.open.count(m_infos[host].id) != 0; });
    }

    // The most that one host has of something, over nodes / control hosts.
    double busiest(std::size_t (connection_mesh::*count)(std::size_t)
                       const) const
    {
        std::size_t most = 0;
        for (std::size_t at = 0; at < m_hosts.size(); ++at)
        {
            most = std::max(most, (this->*count)(at));
        }
        return static_cast<double>(most * m_hosts.size()) /
               static_cast<double>(m_nodes.size());
    }

    // Tries to connect to a host that was down, so far.
    std::uint64_t tries_at(std::size_t host) const
    {
        return m_hosts[host].tries;
    }

    std::uint64_t tries() const
    {
        std::uint64_t all = 0;
        for (const control& each : m_hosts)
        {
            all += each.tries;
        }
        return all;
    }

    // The most nodes that changed their publisher within one second, since the
    // count was last started.
    std::size_t most_moves_in_a_second() const { return m_most_moves; }
    void start_counting_moves() { m_most_moves = 0; }

private:
    struct control
    {
        observer_info info;
        std::unique_ptr<membership_host> core;
        bool is_up;
        std::uint64_t tries;
    };

    struct node
    {
        node(std::size_t number, const std::vector<observer_info>& seeds,
             time_point now)
            : id(fmt::format("node-{}", number))
            , subscribed(subscriber_of(id, seeds), number, now)
            , announced(announcer_of(seeds), record_of(number), number, now)
            , connections(connection_settings())
        {
            connections.set_hosts(subscribed.order());
        }

        static subscriber_settings
        subscriber_of(const host_id& id,
                      const std::vector<observer_info>& seeds)
        {
            subscriber_settings made;
            made.self = id;
            made.region = region_id("r");
            made.publishers = seeds;
            return made;
        }

        static announcer_settings
        announcer_of(const std::vector<observer_info>& seeds)
        {
            announcer_settings made;
            made.region = region_id("r");
            made.observers = seeds;
            return made;
        }

        static upstream_record record_of(std::size_t number)
        {
            upstream_record made;
            made.id = upstream_id(fmt::format("upstream-{}", number));
            made.service = service_id(1);
            made.started = incarnation(1);
            made.agent.port = static_cast<std::uint16_t>(1 + number);
            made.where = place_id("p");
            return made;
        }

        host_id id;
        subscriber subscribed;
        announcer announced;
        control_connections connections;
        std::set<host_id> open;
        std::set<host_id> unreachable;
    };

    struct message
    {
        host_id from;
        host_id to;
        wire::membership_message body;
        bool has_waited = false;
    };

    std::unique_ptr<membership_host> make_host(const observer_info& info)
    {
        observer_settings observing;
        observing.self = info;
        for (const observer_info& each : m_infos)
        {
            if (each.id != info.id)
            {
                observing.peers.push_back(each);
            }
        }
        publisher_settings publishing;
        publishing.bytes_per_second = 65536;
        publishing.burst_bytes = 65536;
        publishing.node_capacity = m_capacity;
        auto made =
            std::make_unique<membership_host>(observing, publishing, 1, m_now);
        made->set_control_hosts(m_now, m_infos);
        made->document_changed(config_version(1), system_document());
        return made;
    }

    control* find_host(const host_id& id)
    {
        const auto found = std::find_if(m_hosts.begin(), m_hosts.end(),
                                        [&id](const control& each)
                                        { return each.info.id == id; });
        return found == m_hosts.end() ? nullptr : &*found;
    }

    template <class Predicate>
    std::size_t count_nodes(const Predicate& is_counted) const
    {
        return static_cast<std::size_t>(
            std::count_if(m_nodes.begin(), m_nodes.end(),
                          [&is_counted](const std::unique_ptr<node>& each)
                          { return is_counted(*each); }));
    }

    // As the daemon's node controller does in each of its rounds.
    void advance(node& each)
    {
        send(each.id, each.announced.tick(m_now));
        std::set<host_id> used{each.subscribed.source(), each.announced.home()};
        const auto better = each.subscribed.better_publisher(m_now);
        if (better)
        {
            used.insert(*better);
        }
        const std::set<host_id> before = each.open;
        each.open = each.connections.update(m_now, used, lost_of(before));
        for (const host_id& host : each.open)
        {
            control* reached = find_host(host);
            reached->tries +=
                before.count(host) == 0 && !reached->is_up ? 1 : 0;
        }
        tell_unreachable(each);
        if (better && before.count(*better) != 0 && find_host(*better)->is_up)
        {
            send(each.id, each.subscribed.move_to(m_now, *better).sends);
        }
        send(each.id, each.subscribed.tick(m_now).sends);
    }

    std::set<host_id> lost_of(const std::set<host_id>& open)
    {
        std::set<host_id> lost;
        for (const host_id& host : open)
        {
            if (!find_host(host)->is_up)
            {
                lost.insert(host);
            }
        }
        return lost;
    }

    void tell_unreachable(node& each) const
    {
        const std::set<host_id> now = each.connections.unreachable();
        for (const host_id& host : each.unreachable)
        {
            if (now.count(host) == 0)
            {
                each.subscribed.connection_made(m_now, host);
            }
        }
        for (const host_id& host : now)
        {
            each.subscribed.connection_lost(m_now, host);
        }
        each.unreachable = now;
    }

    void send(const host_id& from, const std::vector<membership_send>& sends)
    {
        for (const membership_send& each : sends)
        {
            m_in_flight.push_back({from, each.to, each.message});
        }
    }

    // What is sent over a connection that is being made waits for a step: the
    // host may be up then.
    void deliver()
    {
        std::deque<message> waiting;
        while (!m_in_flight.empty())
        {
            message next = std::move(m_in_flight.front());
            m_in_flight.pop_front();
            control* host = find_host(next.to);
            if (host == nullptr)
            {
                handle(*m_by_name.at(next.to), next);
            }
            else if (host->is_up)
            {
                send(next.to, host->core->handle(m_now, next.from, next.body));
            }
            else if (!next.has_waited)
            {
                next.has_waited = true;
                waiting.push_back(std::move(next));
            }
        }
        m_in_flight = std::move(waiting);
    }

    void handle(node& to, const message& in)
    {
        if (in.body.has_answer())
        {
            send(to.id, to.announced.handle(m_now, in.from, in.body));
            return;
        }
        const auto out = to.subscribed.handle(m_now, in.from, in.body);
        send(to.id, out.sends);
        if (out.control_hosts)
        {
            to.announced.set_observers(m_infos);
            to.subscribed.set_publishers(m_now, m_infos);
            to.connections.set_hosts(to.subscribed.order());
        }
    }

    void note_moves()
    {
        std::size_t moved = 0;
        for (const auto& each : m_nodes)
        {
            host_id& before = m_sources[each->id];
            moved += before == each->subscribed.source() ? 0 : 1;
            before = each->subscribed.source();
        }
        m_moves.push_back(moved);
        constexpr std::size_t steps_in_a_second = 20;
        if (m_moves.size() > steps_in_a_second)
        {
            m_moves.pop_front();
        }
        std::size_t in_a_second = 0;
        for (const std::size_t each : m_moves)
        {
            in_a_second += each;
        }
        m_most_moves = std::max(m_most_moves, in_a_second);
    }

    std::size_t m_capacity;
    time_point m_now{std::chrono::hours(1)};
    std::vector<observer_info> m_infos;
    std::vector<control> m_hosts;
    std::vector<std::unique_ptr<node>> m_nodes;
    std::map<host_id, node*> m_by_name;
    std::deque<message> m_in_flight;
    std::map<host_id, host_id> m_sources;
    std::deque<std::size_t> m_moves;
    std::size_t m_most_moves = 0;
};

} // namespace crowlink::test
