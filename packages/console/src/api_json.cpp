#include "api_json.hpp"

#include "crowlink/document/document_writer.hpp"

namespace crowlink::internal
{

namespace
{

ordered_json names(const std::vector<upstream_id>& chain)
{
    auto list = ordered_json::array();
    for (const auto& item : chain)
    {
        list.push_back(item.value());
    }
    return list;
}

ordered_json to_json(const node_status& node)
{
    return {{"host", node.host.value()},
            {"role", node.role},
            {"version", node.version.value()},
            {"age_s", to_seconds(node.age)}};
}

ordered_json to_json(const upstream_status& upstream)
{
    return {{"id", upstream.id.value()},
            {"service", upstream.service.value()},
            {"place", upstream.where.value()},
            {"state", to_string(upstream.state)},
            {"age_s", to_seconds(upstream.age)}};
}

} // namespace

std::string_view to_string(upstream_state state)
{
    switch (state)
    {
    case upstream_state::ready:
        return "ready";
    case upstream_state::draining:
        return "draining";
    case upstream_state::gone:
        return "gone";
    case upstream_state::unreachable:
    case upstream_state::silent:
        return "silent";
    }
    return "unknown";
}

double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

ordered_json to_json(const versioned_document& value)
{
    return {{"version", value.version.value()},
            {"age_s", to_seconds(value.age)},
            {"document",
             ordered_json::parse(write_compact_document(value.document))}};
}

ordered_json to_json(const std::vector<history_entry>& entries)
{
    auto list = ordered_json::array();
    for (const auto& entry : entries)
    {
        list.push_back({{"version", entry.version.value()},
                        {"operation_id", entry.operation.value()},
                        {"author", entry.author},
                        {"accepted_at_s", entry.accepted_at_s}});
    }
    return {{"history", list}};
}

ordered_json to_json(const std::vector<member_entry>& members)
{
    auto list = ordered_json::array();
    for (const auto& member : members)
    {
        list.push_back({{"host", member.host.value()},
                        {"address", member.address.to_string()},
                        {"role", to_string(member.role)},
                        {"leader", member.leader},
                        {"reachable", member.reachable}});
    }
    return {{"members", list}};
}

ordered_json to_json(const std::vector<evacuation_entry>& evacuations)
{
    auto list = ordered_json::array();
    for (const auto& each : evacuations)
    {
        list.push_back({{"data_centre", each.where.value()},
                        {"author", each.author},
                        {"ordered_at_s", each.ordered_at_s}});
    }
    return list;
}

ordered_json to_json(const status_report& report)
{
    auto nodes = ordered_json::array();
    for (const auto& node : report.nodes)
    {
        nodes.push_back(to_json(node));
    }
    auto upstreams = ordered_json::array();
    for (const auto& upstream : report.upstreams)
    {
        upstreams.push_back(to_json(upstream));
    }
    return {{"host", report.host.value()},
            {"leader", report.leader.value()},
            {"quorum", report.quorum},
            {"version", report.version.value()},
            {"age_s", to_seconds(report.age)},
            {"nodes", nodes},
            {"upstreams", upstreams},
            {"evacuations", to_json(report.evacuations)}};
}

ordered_json to_json(const explain_answer& answer)
{
    return {{"flow", answer.flow.to_string()},
            {"service", answer.service.value()},
            {"service_name", answer.service_name},
            {"table", answer.table},
            {"version", answer.version.value()},
            {"chain", names(answer.chain)},
            {"previous_chain", names(answer.previous_chain)}};
}

ordered_json to_json(const document_difference& difference)
{
    return ordered_json::parse(difference.to_json());
}

} // namespace crowlink::internal
