#pragma once

#include "fake_network.hpp"
#include "node_invariants.hpp"

#include <array>
#include <gtest/gtest.h>

#include <memory>
#include <set>

namespace crowlink::test
{

// Control hosts, announcers and nodes over a simulated network. Computes
// independently what every node should see, and checks the invariants of each
// node after every step.
class fake_cluster
{
public:
    struct control
    {
        observer_info info;
        std::unique_ptr<membership_host> core;
        bool lags = false;
        // Does not run, as after SIGSTOP; messages to it are lost.
        bool paused = false;
    };
    struct announced
    {
        upstream_record first;
        region_id region;
        std::unique_ptr<announcer> core;
    };
    struct node
    {
        host_id id;
        interest wants;
        region_id region;
        std::unique_ptr<subscriber> core;
        node_invariants invariants;
    };

    explicit fake_cluster(std::uint64_t seed) : network(seed), random(seed) {}

    fake_network network;
    seeded_random random;
    time_point now{std::chrono::hours(1)};
    std::vector<control> controls;
    std::vector<announced> announcers;
    std::vector<node> nodes;
    system_document document;
    config_version version{1};
    observer_settings observing;
    publisher_settings publishing;
    announcer_settings announcing;
    subscriber_settings subscribing;
    std::size_t longest_message = 0;

    void add_control(const std::string& id, const std::string& place,
                     const std::string& region)
    {
        control next;
        next.info = {host_id(id), place_id(place), region_id(region)};
        controls.push_back(std::move(next));
    }

    void start_controls()
    {
        for (std::size_t index = 0; index < controls.size(); ++index)
        {
            start_control(index);
        }
    }

    void start_control(std::size_t index)
    {
        observer_settings settings = observing;
        settings.self = controls[index].info;
        for (const control& each : controls)
        {
            if (each.info.id != settings.self.id)
            {
                settings.peers.push_back(each.info);
            }
        }
        controls[index].core = std::make_unique<membership_host>(
            settings, publishing, random(), now);
    }

    std::vector<observer_info> infos() const
    {
        std::vector<observer_info> out;
        for (const control& each : controls)
        {
            out.push_back(each.info);
        }
        return out;
    }

    void add_upstream(const std::string& id, std::uint32_t service,
                      const std::string& place, const std::string& region)
    {
        upstream_record record;
        record.id = upstream_id(id);
        record.service = service_id(service);
        record.where = place_id(place);
        record.agent = next_address(7000);
        add_record(record, region);
    }

    void add_balancer(const std::string& id, const std::string& place,
                      const std::string& region)
    {
        balancer_record record;
        record.id = host_id(id);
        record.where = place_id(place);
        record.answers = next_address(9000);
        add_record(to_member(record), region);
    }

    // Gives every agent an address of its own.
    endpoint next_address(std::uint16_t port) const
    {
        const std::size_t index = announcers.size();
        const std::array<std::uint8_t, 4> bytes{
            10, static_cast<std::uint8_t>(index >> 16U),
            static_cast<std::uint8_t>(index >> 8U),
            static_cast<std::uint8_t>(index)};
        return endpoint{ip_address::from_v4(bytes), port};
    }

    void add_record(const upstream_record& record, const std::string& region)
    {
        for (const announced& each : announcers)
        {
            if (each.first.agent == record.agent)
            {
                m_ended.insert(each.first.id);
            }
        }
        announcers.push_back(announced{record, region_id(region), nullptr});
        start_announcer(announcers.size() - 1);
    }

    void start_announcer(std::size_t index)
    {
        announced& each = announcers[index];
        announcer_settings settings = announcing;
        settings.observers = infos();
        settings.region = each.region;
        upstream_record record = each.first;
        const auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(
            now.time_since_epoch());
        record.started = first_incarnation(
            static_cast<std::uint64_t>(wall.count()), random());
        each.core =
            std::make_unique<announcer>(settings, record, random(), now);
    }

    void add_node(const std::string& id, interest wants,
                  const std::string& region)
    {
        node next;
        next.id = host_id(id);
        next.wants = std::move(wants);
        next.region = region_id(region);
        nodes.push_back(std::move(next));
        start_node(nodes.size() - 1);
    }

    // A node that starts knows nothing of its previous run.
    void start_node(std::size_t index)
    {
        node& each = nodes[index];
        subscriber_settings settings = subscribing;
        settings.self = each.id;
        settings.region = each.region;
        settings.wants = each.wants;
        settings.publishers = infos();
        each.core = std::make_unique<subscriber>(settings, random(), now);
        each.invariants = node_invariants();
    }

    void run(duration time)
    {
        const time_point end = now + time;
        while (now < end && !::testing::Test::HasFatalFailure())
        {
            step();
        }
    }

    void step()
    {
        now += std::chrono::milliseconds(100);
        network.deliver(now, [this](const host_id& from, const host_id& to,
                                    const wire::membership_message& message)
                        { receive(from, to, message); });
        for (control& each : controls)
        {
            if (each.core && !each.paused)
            {
                tick_control(each);
            }
        }
        for (announced& each : announcers)
        {
            if (each.core)
            {
                network.send(now, id_of(each), each.core->tick(now));
                note_ended(each);
            }
        }
        for (node& each : nodes)
        {
            if (each.core)
            {
                take(each, each.core->tick(now));
                each.invariants.check(each.id, *each.core, m_ended);
            }
        }
    }

    // Compares every node with the independently computed state. Returns the
    // first difference, or an empty string.
    std::string difference() const
    {
        for (const node& each : nodes)
        {
            const std::string found = each.core ? difference(each) : "";
            if (!found.empty())
            {
                return each.id.value() + ": " + found;
            }
        }
        return "";
    }

    static std::vector<upstream_record> members(const service_view& view)
    {
        std::vector<upstream_record> out = view.members;
        std::erase_if(out, [](const upstream_record& each)
                      { return each.state == upstream_state::silent; });
        for (upstream_record& record : out)
        {
            record.sequence = 0;
        }
        return out;
    }

private:
    static host_id id_of(const announced& each)
    {
        return host_id("a-" + each.first.id.value());
    }

    void note_ended(const announced& each)
    {
        if (each.core->record().state == upstream_state::gone)
        {
            m_ended.insert(each.first.id);
        }
    }

    void tick_control(control& each)
    {
        if (!each.lags)
        {
            each.core->document_changed(version, document);
        }
        network.send(now, each.info.id, each.core->tick(now));
    }

    void receive(const host_id& from, const host_id& to,
                 const wire::membership_message& message)
    {
        longest_message = std::max(longest_message, message.ByteSizeLong());
        for (control& each : controls)
        {
            if (each.info.id == to && each.core && !each.paused)
            {
                network.send(now, to, each.core->handle(now, from, message));
            }
        }
        for (announced& each : announcers)
        {
            if (id_of(each) == to && each.core)
            {
                network.send(now, to, each.core->handle(now, from, message));
            }
        }
        for (node& each : nodes)
        {
            if (each.id == to && each.core)
            {
                take(each, each.core->handle(now, from, message));
                each.invariants.check(each.id, *each.core, m_ended);
            }
        }
    }

    void take(const node& each, const subscriber_output& out)
    {
        network.send(now, each.id, out.sends);
    }

    std::string difference(const node& each) const
    {
        if (each.core->applied_version() != version)
        {
            return "version " +
                   std::to_string(each.core->applied_version().value());
        }
        for (const service& declared : document.services)
        {
            const bool wanted =
                each.wants.all_services ||
                std::count(each.wants.services.begin(),
                           each.wants.services.end(), declared.id) != 0;
            const auto view = each.core->view(declared.id);
            if (wanted != view.has_value())
            {
                return "service " + declared.name;
            }
            if (wanted && !(view->declared == declared))
            {
                return "declaration " + declared.name;
            }
            if (wanted && members(*view) != expected_members(declared.id))
            {
                return "members of " + declared.name;
            }
            if (wanted &&
                view->balancers.size() != expected_balancers(each.wants))
            {
                return "balancers";
            }
        }
        for (const service_id known : each.core->services())
        {
            const bool declared = std::any_of(
                document.services.begin(), document.services.end(),
                [&known](const service& one) { return one.id == known; });
            if (!declared)
            {
                return "service not removed";
            }
        }
        return "";
    }

    std::vector<upstream_record> expected_members(service_id service) const
    {
        std::map<upstream_id, upstream_record> out;
        for (const announced& each : announcers)
        {
            if (!each.core || each.first.service != service ||
                each.core->record().state == upstream_state::gone)
            {
                continue;
            }
            upstream_record record = each.core->record();
            record.sequence = 0;
            const bool drained =
                std::count(document.drains.begin(), document.drains.end(),
                           record.id) != 0;
            record.state = drained ? upstream_state::draining : record.state;
            out[record.id] = record;
        }
        std::vector<upstream_record> sorted;
        sorted.reserve(out.size());
        for (const auto& each : out)
        {
            sorted.push_back(each.second);
        }
        return sorted;
    }

    std::size_t expected_balancers(const interest& wants) const
    {
        std::size_t out = 0;
        for (const announced& each : announcers)
        {
            const bool balancer = is_balancer_group(each.first.service);
            const bool wanted =
                std::count(wants.balancers_in.begin(), wants.balancers_in.end(),
                           each.first.where) != 0;
            const bool living =
                each.core && each.core->record().state == upstream_state::ready;
            out += balancer && wanted && living ? 1 : 0;
        }
        return out;
    }

    // Upstreams that announced their end, or whose agent has another upstream.
    std::set<upstream_id> m_ended;
};

} // namespace crowlink::test
