#include "control/status_view.hpp"

#include "crowlink/balancer/traffic_path.hpp"
#include "crowlink/membership/balancer_record.hpp"

#include <algorithm>

namespace crowlink::internal
{

namespace
{

using published = crowlink::internal::published_record;

// The state with the document's drain and the evacuations applied.
upstream_state effective_state(const control_thread::context& with,
                               const published& held)
{
    const auto& evacuated = with.board.evacuations.get().places;
    const bool may_not =
        held.drained || evacuated.count(held.record.where) != 0;
    const bool drains = may_not && held.record.state == upstream_state::ready;
    return drains ? upstream_state::draining : held.record.state;
}

std::vector<evacuation_entry>
list_evacuations(const control_thread::context& with)
{
    constexpr std::int64_t milliseconds_a_second = 1000;
    std::vector<evacuation_entry> entries;
    for (const auto& [where, order] :
         with.documents->core().evacuated().in_force())
    {
        entries.push_back(
            evacuation_entry{where, order.operator_name,
                             order.ordered_at_ms / milliseconds_a_second});
    }
    return entries;
}

std::vector<node_status> list_nodes(const control_thread::context& with)
{
    std::vector<node_status> nodes;
    for (const auto& [host, known] : with.membership->nodes().nodes())
    {
        nodes.push_back(
            node_status{host, "node", known.version, with.now - known.heard});
    }
    return nodes;
}

std::vector<upstream_status> list_upstreams(const control_thread::context& with)
{
    std::vector<upstream_status> upstreams;
    const auto& state = with.membership->core().publishing().state();
    for (const auto& [key, held] : state.records())
    {
        if (is_balancer_group(key.service) ||
            held.record.state == upstream_state::gone)
        {
            continue;
        }
        upstreams.push_back(
            upstream_status{key.id, key.service, held.record.where,
                            effective_state(with, held), duration()});
    }
    return upstreams;
}

const service* find_service(const system_document& document,
                            const flow_key& flow)
{
    const auto serves = [&flow](const service& each)
    {
        return each.protocol == flow.protocol &&
               std::find(each.addresses.begin(), each.addresses.end(),
                         flow.service) != each.addresses.end();
    };
    const auto found = std::find_if(document.services.begin(),
                                    document.services.end(), serves);
    return found == document.services.end() ? nullptr : &*found;
}

service_view make_view(const control_thread::context& with,
                       const service& declared)
{
    service_view view;
    view.version = with.board.document.get().version;
    view.declared = declared;
    const auto& state = with.membership->core().publishing().state();
    for (const auto& [key, held] : state.records())
    {
        if (key.service != declared.id ||
            held.record.state == upstream_state::gone)
        {
            continue;
        }
        view.members.push_back(held.record);
        view.members.back().state = effective_state(with, held);
    }
    return view;
}

// The upstreams that a chain names; an agent's address and tag name one.
std::vector<upstream_id> names_of(const candidate_chain& chain,
                                  const service_view& view)
{
    std::vector<upstream_id> names;
    for (const candidate& each : chain)
    {
        for (const upstream_record& member : view.members)
        {
            if (tag_of(member.id, member.started) == each.tag)
            {
                names.push_back(member.id);
            }
        }
    }
    return names;
}

} // namespace

status_report make_status(const control_thread::context& with)
{
    const replication::replica_status core =
        with.documents->core().status(with.now);
    status_report report;
    report.host = core.self;
    report.leader = core.leader;
    report.version = with.board.document.get().version;
    report.age = core.age;
    // A leader without a quorum steps down, so that it is soon unknown.
    report.quorum = !core.leader.value().empty();
    report.nodes = list_nodes(with);
    report.upstreams = list_upstreams(with);
    report.evacuations = list_evacuations(with);
    return report;
}

result<explain_answer> make_explanation(const control_thread::context& with,
                                        const flow_key& flow)
{
    const applied_document& applied = with.board.document.get();
    const service* declared = applied.document == nullptr
                                  ? nullptr
                                  : find_service(*applied.document, flow);
    if (declared == nullptr)
    {
        return fail(error_kind::not_found, flow.service.to_string(),
                    "no service has this address");
    }
    const service_view view = make_view(with, *declared);
    const std::vector<service_view> views{view};
    const auto set =
        forwarding_set::with_changes(forwarding_set::empty(), views, {});
    const route_decision decision = explain(*set, flow);
    explain_answer answer;
    answer.flow = flow;
    answer.service = declared->id;
    answer.service_name = declared->name;
    answer.table = decision.table;
    answer.version = applied.version;
    answer.chain = names_of(decision.current, view);
    return answer;
}

} // namespace crowlink::internal
