#pragma once

#include "crowlink/requests/request_admission.hpp"
#include "crowlink/requests/request_caller.hpp"
#include "fake_upstream.hpp"
#include "simulation_settings.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace crowlink::test
{

// Deterministic simulation, from one seed, of a caller, several agents with an
// upstream each, and a network that loses, duplicates, delays and misroutes
// datagrams.
class request_simulation
{
public:
    explicit request_simulation(const simulation_settings& settings);

    // Runs to the end. Returns the first failed check, or an empty string.
    std::string run();

    int ran() const { return m_ran; }
    int not_run() const { return m_not_run; }
    int may_have_run() const { return m_may_have_run; }

private:
    struct host
    {
        request_admission agent;
        fake_upstream upstream;
        std::uint64_t weight = 0;
        bool draining = false;
    };

    struct submitted
    {
        outgoing_request outgoing;
        time_point deadline;
        std::vector<request_outcome> outcomes;
        int sends = 0;
    };

    static admission_settings admission_config(int sessions);
    caller_settings caller_config() const;
    bool chance(int percent);
    duration delay(int max_delay);
    void schedule(time_point when, std::function<void()> action);
    void schedule_events();
    void submit(std::uint64_t number);
    void inject_fault();
    void restart(std::size_t index);
    void crash_upstream(std::size_t index);
    void drain(std::size_t index);
    std::size_t owner_of(path_index path);
    void record_answer(const std::string& bytes);
    void step();
    time_point next_time() const;
    void carry_out_caller();
    void perform_agent_effects(std::size_t index);
    void deliver(path_index path, const std::string& bytes);
    void record_send(const std::string& bytes);
    void transmit(const std::function<void()>& arrive);
    void expect(bool holds, const std::string& failure, std::uint64_t number);
    void check();
    void check_request(std::uint64_t number, const submitted& target);

    simulation_settings m_settings;
    seeded_random m_random;
    time_point m_now{};
    std::uint64_t m_last_event = 0;
    std::map<std::pair<time_point, std::uint64_t>, std::function<void()>>
        m_events;
    run_record m_record;
    std::vector<host> m_hosts;
    std::map<path_index, std::size_t> m_owners;
    std::uint64_t m_last_incarnation = 0;
    request_caller m_caller;
    caller_effects m_caller_effects;
    admission_effects m_agent_effects;
    std::map<std::uint64_t, submitted> m_submitted;
    std::string m_failure;
    // Number of refusals by draining agents; their retries are exempt from the
    // budget.
    int m_drain_refusals = 0;
    int m_ran = 0;
    int m_not_run = 0;
    int m_may_have_run = 0;
};

} // namespace crowlink::test
