#include "wire_convert.hpp"

#include "route_codec.hpp"

#include <utility>
#include <vector>

namespace crowlink::replication::internal
{

namespace
{

wire::MemberRole to_wire(member_role role)
{
    switch (role)
    {
    case member_role::observer:
        return wire::MEMBER_ROLE_OBSERVER;
    case member_role::joining:
        return wire::MEMBER_ROLE_JOINING;
    case member_role::voter:
        return wire::MEMBER_ROLE_VOTER;
    }
    return wire::MEMBER_ROLE_OBSERVER;
}

member_role from_wire(wire::MemberRole role)
{
    switch (role)
    {
    case wire::MEMBER_ROLE_JOINING:
        return member_role::joining;
    case wire::MEMBER_ROLE_VOTER:
        return member_role::voter;
    default:
        return member_role::observer;
    }
}

} // namespace

wire::Membership to_wire(const membership& value)
{
    wire::Membership out;
    for (const member& one : value.members())
    {
        wire::Member* added = out.add_members();
        added->set_host(one.host.value());
        added->set_disk(one.disk.value());
        added->set_role(to_wire(one.role));
    }
    return out;
}

membership from_wire(const wire::Membership& value)
{
    std::vector<member> members;
    for (const wire::Member& one : value.members())
    {
        members.push_back(member{host_id(one.host()), disk_id(one.disk()),
                                 from_wire(one.role())});
    }
    return membership(std::move(members));
}

wire::LogEntry to_wire(const log_entry& value)
{
    wire::LogEntry out;
    out.set_index(value.index);
    out.set_term(value.term);
    out.set_kind(static_cast<wire::EntryKind>(value.kind));
    out.set_payload(value.payload.str());
    return out;
}

log_entry from_wire(wire::LogEntry&& value)
{
    return log_entry{value.index(), value.term(),
                     static_cast<entry_kind>(value.kind()),
                     std::move(*value.mutable_payload())};
}

wire::HardState to_wire(const hard_state& value)
{
    wire::HardState out;
    out.set_term(value.term);
    out.set_vote(value.vote.value());
    out.set_commit(value.commit);
    out.set_cluster(value.cluster);
    out.set_leader(value.leader.value());
    return out;
}

hard_state from_wire(const wire::HardState& value)
{
    return hard_state{value.term(), host_id(value.vote()), value.commit(),
                      value.cluster(), host_id(value.leader())};
}

wire::DocumentChange to_wire(const document_change& value)
{
    wire::DocumentChange out;
    out.set_base(value.base.value());
    out.set_operation(value.operation.value());
    out.set_operator_name(value.operator_name);
    out.set_document(value.document.str());
    out.set_given(value.given.value());
    if (value.routing)
    {
        wire::ChangeRouting& routing = *out.mutable_routing();
        routing.set_routes(encode_routes(value.routing->routes));
        routing.set_proposed_at_ms(value.routing->proposed_at.count());
        routing.set_flow_life_ms(value.routing->flow_life.count());
    }
    return out;
}

document_change from_wire(wire::DocumentChange&& value)
{
    document_change change{
        config_version(value.base()), operation_id(value.operation()),
        value.operator_name(), std::move(*value.mutable_document()),
        config_version(value.given())};
    if (value.has_routing())
    {
        using std::chrono::milliseconds;
        const wire::ChangeRouting& routing = value.routing();
        change.routing = change_routing{decode_routes(routing.routes()),
                                        milliseconds(routing.proposed_at_ms()),
                                        milliseconds(routing.flow_life_ms())};
    }
    return change;
}

wire::ChangeOutcome to_wire(const change_outcome& value)
{
    wire::ChangeOutcome out;
    out.set_result(static_cast<wire::ChangeResult>(value.result));
    out.set_version(value.version.value());
    out.set_message(value.message);
    return out;
}

change_outcome from_wire(const wire::ChangeOutcome& value)
{
    return change_outcome{static_cast<change_result>(value.result()),
                          config_version(value.version()), value.message()};
}

std::string encode_membership(const membership& value)
{
    return to_wire(value).SerializeAsString();
}

membership decode_membership(std::string_view bytes)
{
    wire::Membership parsed;
    // The checksum of the entry has been verified and its sender is
    // authenticated. Bytes that do not parse give an empty membership, with
    // which no host can win an election.
    if (!parsed.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    {
        return {};
    }
    return from_wire(parsed);
}

} // namespace crowlink::replication::internal
