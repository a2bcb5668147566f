#pragma once

#include "crowlink/agent/admission.hpp"
#include "crowlink/agent/agent_counts.hpp"
#include "crowlink/agent/agent_effects.hpp"
#include "crowlink/agent/agent_events.hpp"
#include "crowlink/agent/agent_settings.hpp"
#include "crowlink/agent/deadline_queue.hpp"
#include "crowlink/agent/effect_queue.hpp"
#include "crowlink/agent/flow_table.hpp"
#include "crowlink/agent/held_opening.hpp"
#include "crowlink/agent/member_contact.hpp"
#include "crowlink/agent/member_tables.hpp"
#include "crowlink/agent/opening_counts.hpp"
#include "crowlink/agent/opening_queue.hpp"
#include "crowlink/agent/opening_verdict.hpp"
#include "crowlink/agent/owner_search.hpp"
#include "crowlink/agent/redirect_batch.hpp"
#include "crowlink/agent/redirect_table.hpp"
#include "crowlink/agent/retransmission_detector.hpp"
#include "crowlink/agent/returned_flows.hpp"
#include "crowlink/agent/shed_coordinator.hpp"
#include "crowlink/agent/silent_member_query.hpp"
#include "crowlink/base/latency_histogram.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace crowlink
{

// The agent of one upstream: the authority on the flows that it owns.
// docs/design/flows.md describes how flows are looked up, placed and kept. Not
// thread-safe; the effects of an event are carried out before handle returns.
//
//   agent owner(settings, now);
//   owner.handle(now, view_changed{view}, effects);
//   owner.handle(now, packet_arrived{header, payload}, effects);
class agent
{
public:
    agent(const agent_settings& settings, time_point now);

    // Handles any event of agent_events.hpp.
    template <class Event, agent_effects Effects>
    void handle(time_point now, const Event& event, Effects& effects)
    {
        on(now, event);
        flush(effects);
    }

    template <agent_effects Effects>
    void handle(time_point now, const packet_arrived& event, Effects& effects)
    {
        const route found = route_of(now, event);
        if (found == route::deliver)
        {
            effects.deliver(event.header.flow, event.payload);
            return;
        }
        flush(effects);
    }

    template <agent_effects Effects>
    void handle(time_point now, const upstream_answered& event,
                Effects& effects)
    {
        const endpoint* to = answered(now, event);
        if (to != nullptr)
        {
            effects.answer(*to, event.flow, event.payload);
        }
    }

    bool owns(const flow_key& flow) { return m_flows.find(flow) != nullptr; }
    // Open flows, without lingering ones.
    std::size_t flows() const { return m_flows.open_count(); }
    std::size_t redirects() const { return m_redirects.size(); }
    // In millionths of the upstream's capacity.
    std::uint32_t load() const
    {
        return m_admission.load(m_flows.open_count());
    }
    // How long a request occupies a slot; empty while unknown.
    std::optional<duration> service_time(time_point now) const
    {
        return m_admission.service_time(now);
    }
    // That time relative to the peers'; 1000 is equal, or unknown.
    std::uint32_t relative_time_permille() const
    {
        return m_admission.relative_time_permille();
    }
    // Whether the upstream is judged stalled and takes no new flow.
    bool sheds(time_point now) const;
    upstream_tag tag() const { return m_tag; }
    const upstream_record& record() const { return m_record; }
    const agent_counts& counts() const { return m_counts; }
    // Opening packets that wait for room at the upstream.
    std::size_t held() const { return m_openings.size(); }
    // By priority.
    const std::map<std::uint32_t, opening_counts>& openings() const
    {
        return m_opening_counts;
    }
    // How long opening packets were held.
    const latency_histogram& held_times() const { return m_held_times; }
    // The header of a held packet that the present effects start or pass on;
    // null for other flows.
    const packet_header* released_header(const flow_key& flow) const;

private:
    enum class route : std::uint8_t
    {
        deliver,
        elsewhere,
    };

    // Whether this agent has already asked the silent members about a
    // datagram's flow.
    enum class silent_query : bool
    {
        due,
        done,
    };

    template <agent_effects Effects>
    void flush(Effects& effects)
    {
        m_effects.flush(effects);
        m_ended_searches.clear();
        m_released.clear();
    }

    // Packets.
    route route_of(time_point now, const packet_arrived& event);
    static bool reuses_closed_flow(const internal::flow_entry& entry,
                                   const packet_arrived& event);
    bool is_addressed_here(const packet_arrived& event);
    bool is_for_former_incarnation(const packet_header& header) const;
    route route_of_former_incarnation(time_point now,
                                      const packet_arrived& event);
    void forward_misaddressed(const packet_arrived& event);
    void deliver_known(time_point now, internal::flow_entry& entry,
                       const packet_arrived& event);
    void end_by_caller(time_point now, internal::flow_entry& entry,
                       const packet_arrived& event);
    void find_or_place(time_point now, const packet_arrived& event);
    void continue_pass(time_point now, const packet_arrived& event,
                       silent_query asked);
    bool follow_redirect(time_point now, const packet_arrived& event,
                         const internal::redirect_entry& known);
    bool follow_hint(time_point now, const packet_arrived& event,
                     const internal::redirect_entry& hint);
    void look_up(time_point now, const packet_arrived& event);
    void return_to_head(time_point now, packet_header header,
                        const packet_arrived& event);
    void start_walk(time_point now, packet_header header,
                    const packet_arrived& event,
                    silent_query asked = silent_query::due);
    void walk(time_point now, packet_header header, const packet_arrived& event,
              const candidate& as, silent_query asked = silent_query::due);
    const candidate* missed_on_walk(const packet_header& header,
                                    const candidate_chain& before,
                                    const candidate& as) const;
    const candidate* next_on_walk(const packet_header& header,
                                  std::uint64_t after) const;
    void end_walk(time_point now, packet_header header,
                  const packet_arrived& event, silent_query asked);
    bool caller_retransmits(time_point now, const packet_arrived& event);
    bool is_unserved(time_point now, const packet_arrived& event,
                     const candidate& owner);
    void ask_directly(time_point now, const candidate& member,
                      const flow_key& flow);
    void continue_contact(time_point now);
    bool is_unanswered(time_point now, const candidate& member) const;
    std::vector<candidate> silent_others() const;
    std::vector<candidate> unheard_members(time_point now) const;
    std::vector<candidate> searched_members(time_point now) const;
    void take_denial(time_point now, const candidate& sender,
                     std::uint64_t flow);
    void reset_silent(time_point now, const packet_header& header,
                      payload_view payload,
                      const std::vector<candidate>& owners);

    // Owner searches.
    void search_elsewhere(time_point now, const packet_header& header,
                          const packet_arrived& event);
    void start_search(time_point now, const packet_header& header,
                      const packet_arrived& event);
    void ask_members(time_point now);
    void send_questions(std::vector<internal::addressed_question> questions);
    bool skips_silent(const packet_header& header) const;
    bool query_silent_members(time_point now, const packet_header& header,
                              const packet_arrived& event);
    void continue_silent_query(time_point now);
    void receive_silent_answer(const candidate& sender,
                               const stated_ownership& told);
    void restart_silent_queries(time_point now);
    void end_silent_queries(time_point now);
    void resume(time_point now, const packet_arrived& event);
    void resume_at_head(time_point now, const packet_arrived& event);
    void receive(time_point now, const endpoint& from,
                 const owner_question& message);
    void answer_for_other_incarnation(time_point now,
                                      const owner_question& message);
    void receive(time_point now, const endpoint& from,
                 const owner_answer& message);
    ownership ownership_of(time_point now, const flow_key& flow);
    void search(time_point now, const packet_header& header,
                const packet_arrived& event);
    void deny(const packet_header& header);
    void send_copy(const internal::searched_flow& searched, const candidate& to,
                   std::string_view reason);
    void send_to_owner(internal::searched_flow searched,
                       const candidate& owner);
    void end_searches(time_point now);
    void end_search(time_point now, const internal::searched_flow& searched);
    bool knows_members(time_point now) const;
    candidate_chain candidates_elsewhere(const packet_header& header) const;
    void search_service(const internal::searched_flow& searched,
                        const candidate_chain& elsewhere);
    void search_own_service(time_point now, const packet_header& header,
                            const packet_arrived& event);
    void reset_unknown(const packet_header& header, payload_view payload);
    void reset_caller(const packet_header& header, payload_view payload,
                      refusal_reason told, std::string_view reason,
                      const owner_belief& belief);
    void start_admission(time_point now, packet_header header,
                         const packet_arrived& event,
                         silent_query asked = silent_query::due);
    void evaluate_admission(time_point now, packet_header header,
                            const packet_arrived& event);
    void ask_next_candidate(time_point now, packet_header header,
                            const packet_arrived& event);
    void choose(time_point now, packet_header header,
                const packet_arrived& event);
    void place(time_point now, const packet_header& header,
               const packet_arrived& event);
    std::optional<candidate> place_elsewhere(time_point now,
                                             packet_header header,
                                             const packet_arrived& event,
                                             std::string_view reason);
    void refuse(time_point now, const packet_header& header,
                const packet_arrived& event);
    void accept_flow(time_point now, const packet_header& header,
                     const packet_arrived& event, flow_action how,
                     std::string_view reason);
    bool may_adopt(time_point now, const packet_header& header,
                   bool was_redirected) const;
    void forward(packet_header header, const packet_arrived& event,
                 flow_action how, std::string_view reason);
    void record_hint(time_point now, const packet_header& header,
                     const candidate& to, internal::redirect_kind kind);
    std::size_t next_usable(const packet_header& header,
                            std::size_t from) const;

    // Held opening packets.
    const route_terms* queue_terms(time_point now,
                                   const packet_header& header) const;
    bool takes_openings(time_point now) const;
    bool can_open(time_point now, const packet_header& header);
    internal::opening_verdict judge_opening(time_point now,
                                            const packet_header& header,
                                            const packet_arrived& event,
                                            const route_terms& terms);
    void evaluate_opening(time_point now, packet_header header,
                          const packet_arrived& event,
                          const route_terms& terms);
    void settle_opening(time_point now, const packet_header& header,
                        const packet_arrived& event, const route_terms& terms,
                        std::string_view reason);
    void refuse_opening(const internal::held_opening& opening,
                        payload_view payload,
                        const internal::planned_opening& planned,
                        time_point now);
    void advance_openings(time_point now);
    void start_held(time_point now, const flow_key& flow);
    const internal::held_opening& release(time_point now,
                                          internal::held_opening opening);
    void pass_on_openings(time_point now);
    bool take_for_held(const packet_arrived& event);
    void drop_held(const flow_key& flow, std::string_view reason);
    void held_changed();
    void decide_opening(flow_action action, const packet_header& header,
                        std::string_view reason, duration expected,
                        duration limit);

    // Flows.
    const endpoint* answered(time_point now, const upstream_answered& event);
    void note_caller_packet(time_point now, internal::flow_entry& entry,
                            answer_need need);
    void end_flow(const flow_key& flow, std::string_view reason);
    void reset_flow(const flow_key& flow, refusal_reason reason,
                    bool notify_upstream);
    void close_idle(time_point now);
    void close_finished(time_point now);
    void reset_silent_flows(time_point now);
    bool is_silent(time_point now, const internal::flow_entry& entry) const;
    time_point others_answered(const flow_key& flow) const;
    void note_finished(time_point now, internal::flow_entry& entry);
    void close_oldest_lingering(const internal::flow_entry& kept);
    void reopen(internal::flow_entry& entry);
    duration idle_limit(const internal::flow_entry& entry) const;
    void choose_balancer(internal::flow_entry& entry);

    // Redirects.
    void check_redirects(time_point now, internal::flow_entry& entry,
                         bool renew);
    candidate_chain agents_to_notify(const flow_key& flow) const;
    void publish(const internal::flow_entry& entry, const candidate& to,
                 duration age);
    void publish_opened(time_point now, internal::flow_entry& entry,
                        const packet_header& header);
    void notify_head(time_point now, internal::flow_entry& entry,
                     const packet_header& header);
    void withdraw(const internal::flow_entry& entry);
    void continue_check(time_point now);
    void schedule_renewal(time_point now, internal::flow_entry& entry,
                          bool repeat);
    void renew_due(time_point now);
    void repeat_due(time_point now);
    void send(const endpoint& to, peer_message message);

    // Other events.
    void on(time_point now, const packet_returned& event);
    void on(time_point now, const upstream_closed& event);
    void on(time_point now, const upstream_failed& event);
    void on(time_point now, const upstream_survived& event);
    void on(time_point now, const upstream_start_reported& event);
    void on(time_point now, const message_arrived& event);
    void on(time_point now, const view_changed& event);
    void on(time_point now, const leave_requested& event);
    void on(time_point now, const work_started& event);
    void on(time_point now, const work_ended& event);
    void on(time_point now, const requests_counted& event);
    void on(time_point now, const tick& event);
    void receive(time_point now, const endpoint& from,
                 const redirect_notice& message);
    void receive(time_point now, const endpoint& from,
                 const load_notice& message);
    void receive(time_point now, const endpoint& from,
                 const shed_request& message);
    void receive(time_point now, const endpoint& from,
                 const shed_grant& message);
    void receive_redirect(time_point now, const redirect_notice& message,
                          const owned_flow& owned);
    bool keeps_ownership(time_point now, internal::flow_entry& entry,
                         const candidate& rival, const owned_flow& owned);
    void set_state(upstream_state state);
    void assess(time_point now);
    void send_loads(time_point now);
    void request_shedding(time_point now);
    const candidate* coordinator(candidate_chain& chain) const;
    void send_batch();

    void decide(flow_action action, const flow_key& flow, std::uint64_t table,
                const candidate& chosen, std::string_view reason);

    agent_settings m_settings;
    upstream_record m_record;
    upstream_tag m_tag;
    candidate m_self;
    internal::flow_table m_flows;
    internal::redirect_table m_redirects;
    internal::member_tables m_members;
    internal::admission m_admission;
    internal::shed_coordinator m_shed_coordinator;
    internal::effect_queue m_effects;
    internal::redirect_batch m_batch;
    internal::deadline_queue m_renewals;
    internal::deadline_queue m_repeats;
    internal::deadline_queue m_watched;
    internal::deadline_queue m_lingering;
    internal::retransmission_detector m_retransmissions;
    internal::returned_flows m_returned;
    internal::owner_search m_search;
    internal::silent_member_query m_silent_query;
    internal::member_contact m_contact;
    // Searches that ended with the current event; its effects refer to their
    // payloads.
    std::vector<internal::searched_flow> m_ended_searches;
    internal::opening_queue m_openings;
    // Held packets that the current event started, refused or passed on; its
    // effects refer to their payloads.
    std::vector<internal::held_opening> m_released;
    std::map<std::uint32_t, opening_counts> m_opening_counts;
    latency_histogram m_held_times;
    agent_counts m_counts;

    // The generation of tables that redirects are checked against, and the
    // members that are notified again in it.
    std::uint32_t m_check = 1;
    bool m_checking = false;
    std::uint32_t m_redirects_left = 0;
    std::size_t m_questions_left = 0;
    std::size_t m_copies_left = 0;
    std::vector<upstream_tag> m_renewed;

    bool m_announced = false;
    bool m_leaving = false;
    bool m_is_incarnation_uncertain = false;
    // After a restart beside a running upstream, flows that may be old are
    // adopted until m_adopt_until, and flows that are certainly old until
    // m_adopt_old_until.
    time_point m_adopt_until{};
    time_point m_adopt_old_until{};
    // Until then the upstream may hold a flow whose chain in the recent tables
    // does not list it.
    time_point m_may_hold_until{};
    time_point m_next_assessment{};
    std::size_t m_next_peer = 0;
    // The time of the latest answer, and of the latest answer on another flow
    // than that one.
    time_point m_answered_at{};
    time_point m_answered_other_at{};
    flow_key m_answered_flow;
};

} // namespace crowlink
