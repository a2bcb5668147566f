#include "process/running_daemon.hpp"

#include "crowlink/membership/balancer_record.hpp"
#include "crowlink/requests/message_codec.hpp"
#include "crowlink/requests/udp_request_client.hpp"

#include <cstdlib>
#include <filesystem>
#include <gtest/gtest.h>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace crowlink::internal
{
namespace
{

// A resend after each wait; a run that passes needs few of them.
constexpr std::chrono::milliseconds patience(100);
constexpr int most_tries = 300;

const endpoint any_port = *endpoint::parse("127.0.0.1:0");

std::span<const std::uint8_t> bytes_of(std::string_view text)
{
    return std::span(reinterpret_cast<const std::uint8_t*>(text.data()),
                     text.size());
}

std::string text_of(std::span<const std::uint8_t> bytes)
{
    return std::string(bytes.begin(), bytes.end());
}

// One daemon with all roles, an upstream and callers, all in this process.
class one_daemon : public testing::Test
{
protected:
    one_daemon()
    {
        std::string pattern = testing::TempDir() + "crowlink_daemon_XXXXXX";
        m_folder = mkdtemp(pattern.data());
        m_poller.add(m_upstream.handle(), 0);
        m_daemon = running_daemon::start(settings(), m_log);
    }

    ~one_daemon() override
    {
        m_daemon = fail(error_kind::unavailable, "", "ended");
        std::filesystem::remove_all(m_folder);
    }

    daemon_settings settings() const
    {
        daemon_settings made;
        made.host = host_settings{host_id("h"), place_id("p"), region_id("r")};
        made.control.emplace();
        made.control->data_folder = m_folder + "/data";
        made.control->peer_listen = any_port;
        made.control->node_listen = any_port;
        made.control->peers = {control_peer{
            host_id("h"), place_id("p"), region_id("r"), any_port, "", true}};
        made.balancer.emplace();
        made.balancer->mode = port_mode::plain_datagrams;
        made.balancer->listen = {any_port};
        made.balancer->tunnel = any_port;
        agent_role_settings agent;
        agent.upstream = upstream_id("u");
        agent.service = service_id(1);
        agent.upstream_address = m_upstream.local();
        agent.tunnel = any_port;
        made.agents.push_back(agent);
        return made;
    }

    endpoint service_address() const
    {
        return (*m_daemon)->balancing()->listening().front();
    }

    // Applies a document with one service; until a leader is there, changes
    // are refused as not run.
    result<change_outcome>
    declare_service(const std::vector<request_kind>& kinds = {})
    {
        control_backend backend(m_settings, (*m_daemon)->control(),
                                [] { return std::string(); });
        service declared;
        declared.id = service_id(1);
        declared.name = "s";
        declared.kinds = kinds;
        declared.addresses = {service_address()};
        declared.sharing.cold_start = duration();
        change_request request;
        request.operation = operation_id("op-1");
        request.author = "test";
        request.document.places = {place{place_id("p"), region_id("r")}};
        request.document.services = {declared};
        result<change_outcome> outcome = backend.change(request);
        for (int tries = 0; !outcome && tries < most_tries; ++tries)
        {
            serve_upstream();
            outcome = backend.change(request);
        }
        return outcome;
    }

    // As an upstream of requests: answers each run with its body.
    void run_requests()
    {
        if (m_poller.wait(patience).empty())
        {
            return;
        }
        const std::size_t count = m_upstream.receive(m_batch);
        for (std::size_t at = 0; at < count; ++at)
        {
            const auto command =
                decode_upstream_command(text_of(m_batch.bytes(at)));
            ASSERT_TRUE(command);
            const auto* run = std::get_if<upstream_run>(&*command);
            if (run == nullptr)
            {
                continue;
            }
            ++m_runs;
            upstream_answer done;
            done.id = run->id;
            done.outcome = verdict::ran;
            done.body = "done " + run->kind + " " + run->body;
            const std::string bytes = encode(done);
            (void)m_upstream.send(bytes_of(bytes), m_batch.peer(at));
        }
    }

    // Answers what reached the upstream within the patience.
    void serve_upstream()
    {
        if (m_poller.wait(patience).empty())
        {
            return;
        }
        const std::size_t count = m_upstream.receive(m_batch);
        for (std::size_t at = 0; at < count; ++at)
        {
            const std::string text = "to " + text_of(m_batch.bytes(at));
            (void)m_upstream.send(bytes_of(text), m_batch.peer(at));
        }
    }

    void send(const udp_socket& caller, const std::string& text)
    {
        ++m_unanswered[text];
        (void)caller.send(bytes_of(text), service_address());
    }

    // The answer to a datagram, empty if there is none after so many tries. A
    // datagram that was sent again is answered again: such answers to earlier
    // calls are passed over, each send's once.
    std::string call(const udp_socket& caller, const std::string& text,
                     int tries = most_tries)
    {
        poller answered;
        answered.add(caller.handle(), 0);
        for (; tries > 0; --tries)
        {
            send(caller, text);
            serve_upstream();
            while (!answered.wait(patience).empty())
            {
                const auto answer = next_answer(caller, text);
                if (answer)
                {
                    return *answer;
                }
            }
        }
        return {};
    }

    // Empty where all that came answers earlier calls.
    std::optional<std::string> next_answer(const udp_socket& caller,
                                           const std::string& text)
    {
        const std::size_t count = caller.receive(m_batch);
        for (std::size_t at = 0; at < count; ++at)
        {
            const std::string answer = text_of(m_batch.bytes(at));
            const std::string answered = answer.substr(answer.find(' ') + 1);
            const auto earlier = m_unanswered.find(answered);
            const bool is_late = answered != text &&
                                 earlier != m_unanswered.end() &&
                                 earlier->second > 0;
            if (earlier != m_unanswered.end())
            {
                --earlier->second;
            }
            if (!is_late)
            {
                return answer;
            }
        }
        return std::nullopt;
    }

    // Restarts the daemon with or without the capacity of its link.
    void restart(port_mode mode, std::optional<double> link_mbps)
    {
        m_daemon = fail(error_kind::unavailable, "", "ended");
        daemon_settings changed = settings();
        changed.balancer->mode = mode;
        changed.host.link_mbps = link_mbps;
        m_daemon = running_daemon::start(changed, m_log);
    }

    // The entry hosts that the daemon knows.
    std::vector<host_capacity> entry_hosts()
    {
        const auto found =
            (*m_daemon)->control().ask<std::vector<host_capacity>>(
                [](control_thread::context& with)
                { return with.board.entry_hosts.get(); });
        return found ? *found : std::vector<host_capacity>();
    }

    // The service or balancer group of each record that control holds, once
    // there are so many.
    std::vector<service_id> services_of_records(std::size_t awaited)
    {
        std::vector<service_id> services;
        for (int tries = 0; tries < most_tries && services.size() < awaited;
             ++tries)
        {
            std::this_thread::sleep_for(patience);
            services = services_of_records();
        }
        return services;
    }

    std::vector<service_id> services_of_records()
    {
        using answer = std::vector<service_id>;
        const auto found = (*m_daemon)->control().ask<answer>(
            [](control_thread::context& with)
            {
                answer services;
                for (const auto& each :
                     with.membership->core().publishing().state().records())
                {
                    services.push_back(each.first.service);
                }
                return services;
            });
        return found ? *found : answer();
    }

    // Adds an entry host to those that the daemon knows.
    void add_entry_host(const host_capacity& added)
    {
        (void)(*m_daemon)->control().ask<bool>(
            [added](control_thread::context& with)
            {
                auto hosts = with.board.entry_hosts.get();
                hosts.push_back(added);
                with.board.entry_hosts.set(std::move(hosts));
                return true;
            });
    }

    // Whether the readiness probe gets this answer, soon or after a while.
    bool becomes_ready(bool wanted)
    {
        for (int tries = 0; tries < most_tries; ++tries)
        {
            if ((*m_daemon)->is_ready() == wanted)
            {
                return true;
            }
            std::this_thread::sleep_for(patience);
        }
        return false;
    }

    std::string m_folder;
    log_sink m_log{stderr, log_format::key_value, log_level::error};
    udp_socket m_upstream = *udp_socket::bind(any_port);
    poller m_poller;
    datagram_batch m_batch;
    int m_runs = 0;
    // How often each text was sent more than it was answered.
    std::map<std::string, int> m_unanswered;
    daemon_settings m_settings = settings();
    result<std::unique_ptr<running_daemon>> m_daemon =
        fail(error_kind::unavailable, "", "not started");
};

TEST_F(one_daemon, takes_a_datagram_to_the_upstream_and_back)
{
    ASSERT_TRUE(m_daemon) << to_string(m_daemon.error());
    const auto outcome = declare_service();
    ASSERT_TRUE(outcome) << to_string(outcome.error());
    EXPECT_EQ(outcome->status, change_status::accepted);
    const udp_socket caller = *udp_socket::bind(any_port);
    EXPECT_EQ(call(caller, "hello"), "to hello");
}

TEST_F(one_daemon, admits_requests_of_a_service_with_kinds)
{
    ASSERT_TRUE(m_daemon) << to_string(m_daemon.error());
    ASSERT_TRUE(declare_service({request_kind{"hold", 2, false}}));
    auto client = udp_request_client::open({}, {service_address()});
    ASSERT_TRUE(client);
    std::vector<request_outcome> outcomes;
    for (int tries = 0; tries < most_tries; ++tries)
    {
        // What is refused or times out before the upstream is there did not
        // run, so that another one may be sent.
        outgoing_request request;
        request.kind = "hold";
        request.deadline = std::chrono::seconds(1);
        request.body = "toy";
        client->send(request);
        outcomes.clear();
        while (outcomes.empty())
        {
            outcomes = client->poll(std::chrono::milliseconds(20));
            run_requests();
        }
        if (outcomes.front().answer.outcome == verdict::ran)
        {
            break;
        }
        ASSERT_EQ(m_runs, 0);
    }
    ASSERT_EQ(outcomes.front().answer.outcome, verdict::ran);
    EXPECT_EQ(outcomes.front().answer.body, "done hold toy");
    EXPECT_EQ(m_runs, 1);
}

TEST_F(one_daemon, keeps_its_flows_and_takes_no_new_one_while_it_drains)
{
    ASSERT_TRUE(m_daemon) << to_string(m_daemon.error());
    ASSERT_TRUE(declare_service());
    const udp_socket known = *udp_socket::bind(any_port);
    ASSERT_EQ(call(known, "one"), "to one");
    (*m_daemon)->drain();
    EXPECT_EQ(call(known, "two"), "to two");
    EXPECT_FALSE((*m_daemon)->drained());
    const udp_socket stranger = *udp_socket::bind(any_port);
    constexpr int a_few_tries = 5;
    EXPECT_EQ(call(stranger, "three", a_few_tries), "");
    EXPECT_EQ(call(known, "four"), "to four");
}

TEST_F(one_daemon, answers_a_datagram_as_often_as_it_was_sent)
{
    ASSERT_TRUE(m_daemon) << to_string(m_daemon.error());
    ASSERT_TRUE(declare_service());
    const udp_socket known = *udp_socket::bind(any_port);
    ASSERT_EQ(call(known, "one"), "to one");
    // As a call does whose answer is late.
    send(known, "one");
    EXPECT_EQ(call(known, "two"), "to two");
}

// The own record goes through control and back; the other host is made up.
TEST_F(one_daemon, answers_the_readiness_probe_by_the_rotation)
{
    restart(port_mode::plain_datagrams, 4.8);
    ASSERT_TRUE(m_daemon) << to_string(m_daemon.error());
    ASSERT_TRUE(declare_service());
    ASSERT_TRUE(becomes_ready(true));
    const std::vector<host_capacity> own{{host_id("h"), 5}};
    for (int tries = 0; tries < most_tries && entry_hosts() != own; ++tries)
    {
        std::this_thread::sleep_for(patience);
    }
    ASSERT_EQ(entry_hosts(), own);
    add_entry_host({host_id("large"), 100});
    EXPECT_TRUE(becomes_ready(false));
    add_entry_host({host_id("small"), 5});
    EXPECT_TRUE(becomes_ready(true));
}

// Entry hosts of flow packets need a record for the rotation alone.
TEST_F(one_daemon, announces_an_entry_host_of_flow_packets_with_a_link_alone)
{
    restart(port_mode::flow_packets, 4.8);
    ASSERT_TRUE(m_daemon) << to_string(m_daemon.error());
    EXPECT_EQ(services_of_records(2),
              (std::vector<service_id>{service_id(1),
                                       balancer_group(place_id("p"))}));
    restart(port_mode::flow_packets, std::nullopt);
    ASSERT_TRUE(m_daemon) << to_string(m_daemon.error());
    ASSERT_EQ(services_of_records(1), (std::vector<service_id>{service_id(1)}));
    // Both records would be announced within the same half second.
    std::this_thread::sleep_for(std::chrono::seconds(1));
    EXPECT_EQ(services_of_records(), (std::vector<service_id>{service_id(1)}));
}

TEST_F(one_daemon, learns_no_entry_hosts_without_the_setting)
{
    ASSERT_TRUE(m_daemon) << to_string(m_daemon.error());
    ASSERT_TRUE(declare_service());
    const udp_socket caller = *udp_socket::bind(any_port);
    ASSERT_EQ(call(caller, "hello"), "to hello");
    EXPECT_TRUE((*m_daemon)->is_ready());
    EXPECT_TRUE(entry_hosts().empty());
}

TEST_F(one_daemon, refuses_a_port_that_is_taken)
{
    ASSERT_TRUE(m_daemon) << to_string(m_daemon.error());
    daemon_settings second = settings();
    second.control->data_folder = m_folder + "/other";
    second.agents.front().tunnel = m_upstream.local();
    const auto refused = running_daemon::start(second, m_log);
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().place, m_upstream.local().to_string());
}

TEST_F(one_daemon, refuses_a_data_folder_that_another_one_holds)
{
    ASSERT_TRUE(m_daemon) << to_string(m_daemon.error());
    EXPECT_FALSE(running_daemon::start(settings(), m_log));
}

} // namespace
} // namespace crowlink::internal
