#pragma once

#include "crowlink/console/operator_backend.hpp"
#include "crowlink/document/document_reader.hpp"

#include <algorithm>
#include <map>
#include <mutex>
#include <stdexcept>
#include <string>
#include <vector>

namespace crowlink
{

// A system in memory, with the rules of the replicated log and switches for
// its failures.
class fake_backend
{
public:
    static constexpr const char* first_document = R"({
      "regions": [{"name": "NCR", "places": ["quezon", "pasig", "makati"]}],
      "services": [
        {"id": 1, "name": "hiraman", "protocol": "udp",
         "addresses": ["127.0.0.1:7100"],
         "kinds": [{"name": "reserve", "weight": 2, "idempotent": false},
                   {"name": "browse", "weight": 1, "idempotent": true}]},
        {"id": 2, "name": "katalogo", "protocol": "tcp", "goal": "continuity",
         "addresses": ["127.0.0.1:7200", "[::1]:7200"]}],
      "drains": ["u2"]})";

    fake_backend()
    {
        m_versions.push_back(read_document(first_document).value());
        m_members.push_back({host_id("c1"), *endpoint::parse("10.0.0.1:7000"),
                             member_role::voter, true, true});
    }

    // Calls answer `unavailable` without any effect.
    void lose_quorum(bool lost)
    {
        locked([&] { m_lost = lost; });
    }
    // So many changes take effect and then end in an error.
    void lose_answers(int count)
    {
        locked([&] { m_lost_answers = count; });
    }
    // So many changes find that somebody else was faster.
    void race(int count)
    {
        locked([&] { m_races = count; });
    }
    // How many changes took effect.
    std::size_t effects()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_history.size();
    }

    result<versioned_document> document()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return versioned_document{newest(), m_versions.back(),
                                  std::chrono::milliseconds(200)};
    }

    result<versioned_document> document_at(config_version version)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (version.value() == 0 || version > newest())
        {
            return fail(error_kind::not_found, "version", "is not kept");
        }
        return versioned_document{version, m_versions[version.value() - 1], {}};
    }

    result<change_outcome> change(const change_request& request)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_lost)
        {
            return fail(error_kind::unavailable, "", "no quorum");
        }
        const auto known = m_answers.find(request.operation.value());
        if (known != m_answers.end())
        {
            if (known->second.request != request)
            {
                return fail(error_kind::invalid, "operation",
                            "came with another change");
            }
            return known->second.outcome;
        }
        if (m_races > 0)
        {
            --m_races;
            m_versions.push_back(m_versions.back());
        }
        if (request.base != newest())
        {
            const change_outcome lost{change_status::conflict, newest()};
            m_answers[request.operation.value()] = {request, lost};
            return lost;
        }
        m_versions.push_back(request.document);
        m_history.insert(m_history.begin(),
                         {newest(), request.operation, request.author, 1000});
        const change_outcome outcome{change_status::accepted, newest()};
        m_answers[request.operation.value()] = {request, outcome};
        if (m_lost_answers > 0)
        {
            --m_lost_answers;
            return fail(error_kind::unavailable, "", "the answer was lost");
        }
        return outcome;
    }

    result<std::vector<history_entry>> history(std::size_t most)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        auto entries = m_history;
        entries.resize(std::min(entries.size(), most));
        return entries;
    }

    result<status_report> status()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        status_report report;
        report.host = host_id("c1");
        report.leader = host_id("c1");
        report.version = newest();
        report.age = std::chrono::milliseconds(200);
        report.quorum = !m_lost;
        report.nodes = {{host_id("b1"), "balancer", newest(),
                         std::chrono::milliseconds(500)},
                        {host_id("h1"), "agent", newest(),
                         std::chrono::milliseconds(1500)}};
        report.upstreams = {
            {upstream_id("u1"), service_id(1), place_id("quezon"),
             upstream_state::ready, std::chrono::seconds(1)},
            {upstream_id("u2"), service_id(1), place_id("pasig"),
             upstream_state::draining, std::chrono::seconds(2)}};
        for (const auto& [where, author] : m_evacuated)
        {
            report.evacuations.push_back(evacuation_entry{where, author, 1000});
        }
        return report;
    }

    result<void> evacuate(const evacuation_request& order)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (order.where != place_id("pasig"))
        {
            return fail(error_kind::not_found, order.where.value(),
                        "is no data centre; known: pasig");
        }
        if (order.evacuates)
        {
            m_evacuated.emplace(order.where, order.author);
        }
        else
        {
            m_evacuated.erase(order.where);
        }
        return {};
    }

    result<std::vector<member_entry>> members()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_members;
    }

    result<std::vector<member_entry>>
    change_members(const member_change& change)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto leaver = change.action == member_action::replace
                                ? change.replaced
                                : change.host;
        std::erase_if(m_members, [&leaver](const member_entry& member)
                      { return member.host == leaver; });
        if (change.action != member_action::remove)
        {
            m_members.push_back({change.host, change.address,
                                 member_role::learner, false, true});
        }
        return m_members;
    }

    result<explain_answer> explain(const flow_key& flow)
    {
        if (flow.service.port != 7100)
        {
            return fail(error_kind::not_found, flow.service.to_string(),
                        "no service has this address");
        }
        explain_answer answer;
        answer.flow = flow;
        answer.service = service_id(1);
        answer.service_name = "hiraman";
        answer.table = 42;
        answer.version = config_version(1);
        answer.chain = {upstream_id("u1"), upstream_id("u2")};
        return answer;
    }

    readiness ready()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_lost ? readiness{false, "no quorum"} : readiness{true, ""};
    }

    std::string render_metrics() { return "crowlink_fake 1\n"; }

private:
    // The log remembers conflicts as well, and the change with its answer.
    struct first_answer
    {
        change_request request;
        change_outcome outcome;
    };

    config_version newest() const { return config_version(m_versions.size()); }

    template <class Action>
    void locked(Action action)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        action();
    }

    std::mutex m_mutex;
    // Version n stands at n - 1.
    std::vector<system_document> m_versions;
    std::vector<history_entry> m_history;
    std::vector<member_entry> m_members;
    std::map<std::string, first_answer> m_answers;
    std::map<place_id, std::string> m_evacuated;
    bool m_lost = false;
    int m_lost_answers = 0;
    int m_races = 0;
};

static_assert(operator_backend<fake_backend>,
              "the fake must satisfy the backend's concept");

} // namespace crowlink
