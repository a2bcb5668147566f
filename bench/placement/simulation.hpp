#pragma once

#include "arrivals.hpp"
#include "balance_meter.hpp"
#include "caller_flow.hpp"
#include "event_queue.hpp"
#include "experiment.hpp"
#include "fake_upstream.hpp"
#include "packet_text.hpp"
#include "report.hpp"
#include "work_record.hpp"

#include "crowlink/base/random.hpp"
#include "crowlink/base/verdict.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace crowlink::placement
{

// What an upstream is meant to be, as its operators see it.
enum class upstream_phase : std::uint8_t
{
    serving,
    leaving,
    down,
};

// Callers, upstreams and the network between them, for one arm. A policy
// brings the packets from callers to upstreams and answers back; it is told of
// every fault through its functions, and acts through the public ones here.
class simulation
{
public:
    // What a policy is told. The functions may act on the simulation at once.
    class policy
    {
    public:
        policy() = default;
        policy(const policy&) = delete;
        policy& operator=(const policy&) = delete;
        virtual ~policy() = default;

        // A packet reached one of the balancers.
        virtual void packet(const flow_key& flow, const packet_text& text) = 0;
        virtual void answered(std::size_t upstream, const flow_key& flow,
                              const packet_text& text) = 0;
        virtual void refused(std::size_t upstream, const flow_key& flow,
                             const packet_text& text) = 0;
        virtual void work_started(std::size_t upstream) = 0;
        virtual void work_ended(std::size_t upstream, bool completed) = 0;
        virtual void started(std::size_t upstream) = 0;
        virtual void leaving(std::size_t upstream) = 0;
        virtual void ended(std::size_t upstream) = 0;
        virtual void crashed(std::size_t upstream) = 0;
        virtual void agent_restarted(std::size_t upstream) = 0;
        virtual void balancer_replaced(std::size_t which) = 0;
        virtual void balancer_crashed(std::size_t which) = 0;
        // Every tenth of a second.
        virtual void tick() = 0;
    };

    simulation(const experiment& settings, arm mode);

    arm_report run(policy& deciding);

    // For policies.
    event_queue& events() { return m_events; }
    const experiment& settings() const { return m_settings; }
    arm mode() const { return m_report.mode; }
    seeded_random& random() { return m_random; }
    arm_report& counts() { return m_report; }
    std::size_t upstream_count() const { return m_upstreams.size(); }
    std::size_t service_of(std::size_t upstream) const
    {
        return m_services[upstream];
    }
    upstream_phase phase(std::size_t upstream) const
    {
        return m_phases[upstream];
    }
    const fake_upstream& upstream(std::size_t index) const
    {
        return *m_upstreams[index];
    }
    const caller_flow& flow(std::uint32_t index) const
    {
        return m_flows[index];
    }
    // The flow that has this key now or had it before a refusal.
    static std::uint32_t index_of(const flow_key& flow);
    // The address that callers of a service use.
    static endpoint service_address(std::size_t service);

    // Gives a packet to an upstream, from a process beside it.
    void deliver(std::size_t upstream, const packet_text& text);
    // The process beside an upstream ends a connection of it.
    void disconnect(std::size_t upstream, std::uint32_t flow);
    // Something reaches the caller of a flow.
    void answer_caller(const flow_key& flow, const packet_text& text);
    void refuse_caller(const flow_key& flow, std::uint32_t index,
                       verdict outcome, duration retry_after);
    void reset_caller(const flow_key& flow, std::uint32_t index);

private:
    void add_upstreams();
    void open_flow(const arrival& from);
    void ask(std::uint32_t index);
    void send(std::uint32_t index);
    void check(std::uint32_t index, std::uint32_t sequence,
               std::uint32_t attempt, std::uint32_t tries);
    void ask_again(std::uint32_t index);
    void break_flow(caller_flow& broken, bool told);
    void new_key(std::uint32_t index);

    void begin_faults();
    void begin(const fault& what);
    std::size_t index_of(const fault& what) const;
    void restart_next();
    void restart_when_empty(std::size_t upstream);
    void crash(std::size_t upstream);
    void stall(std::size_t upstream, duration lasts);
    void disturb_flows_of(std::size_t upstream);

    void sample();
    void finish();

    const experiment& m_settings;
    event_queue m_events;
    work_record m_record;
    seeded_random m_random;
    seeded_random m_think;
    policy* m_policy = nullptr;
    std::vector<std::unique_ptr<fake_upstream>> m_upstreams;
    std::vector<std::size_t> m_services;
    std::vector<upstream_phase> m_phases;
    // The upstreams that a rolling restart has yet to restart, last one first.
    std::vector<std::size_t> m_restarts;
    std::size_t m_restarting = 0;
    std::vector<caller_flow> m_flows;
    std::vector<float> m_answer_times;
    std::vector<balance_meter> m_flow_balance;
    std::vector<balance_meter> m_flow_balance_all;
    std::vector<balance_meter> m_request_balance;
    arm_report m_report;
};

} // namespace crowlink::placement
