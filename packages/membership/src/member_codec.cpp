#include "member_codec.hpp"

#include "crowlink/base/hash.hpp"
#include "crowlink/membership/balancer_record.hpp"

#include <algorithm>
#include <array>
#include <cstring>
#include <string_view>

namespace crowlink::internal
{

namespace
{

constexpr std::size_t max_name_bytes = 255;
constexpr std::size_t max_places = 256;
constexpr std::uint32_t default_weight = 100;
constexpr std::uint32_t max_weight = 1000;
constexpr std::uint32_t max_port = 65535;
constexpr std::size_t v4_size = 4;
constexpr std::size_t v4_offset = ip_address::byte_count - v4_size;

void write_address(const ip_address& address, std::string& out)
{
    const auto* bytes =
        reinterpret_cast<const char*>(address.bytes().data()); // NOLINT
    if (address.is_v4())
    {
        out.assign(bytes + v4_offset, v4_size);
        return;
    }
    out.assign(bytes, ip_address::byte_count);
}

result<endpoint> read_endpoint(const std::string& bytes, std::uint32_t port)
{
    if (port > max_port)
    {
        return fail(error_kind::invalid, "port", "is above 65535");
    }
    const auto number = static_cast<std::uint16_t>(port);
    if (bytes.size() == v4_size)
    {
        std::array<std::uint8_t, v4_size> v4{};
        std::memcpy(v4.data(), bytes.data(), v4.size());
        return endpoint{ip_address::from_v4(v4), number};
    }
    if (bytes.size() != ip_address::byte_count)
    {
        return fail(error_kind::invalid, "address",
                    "has a size other than 4 or 16 bytes");
    }
    ip_address::bytes_type all{};
    std::memcpy(all.data(), bytes.data(), all.size());
    return endpoint{ip_address(all), number};
}

std::uint64_t hash_endpoint(const endpoint& value, std::uint64_t seed)
{
    const auto& bytes = value.address.bytes();
    const std::string_view view(
        reinterpret_cast<const char*>(bytes.data()), // NOLINT
        bytes.size());
    return combine_hash(stable_hash(view, seed), value.port);
}

result<upstream_record> read_version(const wire::member& in)
{
    if (in.id().empty() || in.id().size() > max_name_bytes)
    {
        return fail(error_kind::invalid, "id",
                    "has a size outside 1 to 255 bytes");
    }
    if (in.state() > static_cast<std::uint32_t>(upstream_state::gone))
    {
        return fail(error_kind::invalid, "state", "is unknown");
    }
    upstream_record record;
    record.id = upstream_id(in.id());
    record.service = service_id(in.service());
    record.started = incarnation(in.started());
    record.sequence = in.sequence();
    record.state = static_cast<upstream_state>(in.state());
    record.expired = record.state == upstream_state::gone && in.expired();
    return record;
}

} // namespace

std::uint32_t index_of(name_list& names, const std::string& name)
{
    for (int index = 0; index < names.size(); ++index)
    {
        if (names[index] == name)
        {
            return static_cast<std::uint32_t>(index);
        }
    }
    *names.Add() = name;
    return static_cast<std::uint32_t>(names.size() - 1);
}

void write_member(const upstream_record& record, name_list& places,
                  wire::member& out)
{
    out.set_service(record.service.value());
    out.set_id(record.id.value());
    out.set_started(record.started.value());
    out.set_sequence(record.sequence);
    out.set_state(static_cast<std::uint32_t>(record.state));
    out.set_expired(record.expired);
    if (has_ended(record))
    {
        return;
    }
    write_address(record.agent.address, *out.mutable_address());
    out.set_port(record.agent.port);
    out.set_place(index_of(places, record.where.value()));
    out.set_weight(record.weight == default_weight ? 0 : record.weight);
}

result<upstream_record> read_member(const wire::member& in,
                                    const name_list& places)
{
    auto record = read_version(in);
    if (!record || has_ended(*record))
    {
        return record;
    }
    const auto agent = read_endpoint(in.address(), in.port());
    if (!agent)
    {
        return tl::unexpected<error>(agent.error());
    }
    const auto place_count = static_cast<std::uint32_t>(places.size());
    if (in.place() >= place_count || place_count > max_places)
    {
        return fail(error_kind::invalid, "place", "is not in the list");
    }
    if (in.weight() > max_weight)
    {
        return fail(error_kind::invalid, "weight", "is above 1000");
    }
    record->agent = *agent;
    record->where = place_id(places[static_cast<int>(in.place())]);
    record->weight = in.weight() == 0 ? default_weight : in.weight();
    return record;
}

void write_terms(const route_terms& terms, wire::route_terms& out)
{
    out.set_requests(static_cast<std::uint32_t>(terms.requests));
    out.set_timeout_ns(static_cast<std::uint64_t>(terms.timeout.count()));
    out.set_aim_ns(static_cast<std::uint64_t>(terms.aim.count()));
    out.set_priority(terms.priority);
}

// A class of a later release counts as the strictest one.
request_class read_class(std::uint32_t value)
{
    const bool is_known =
        value <= static_cast<std::uint32_t>(last_request_class);
    return is_known ? static_cast<request_class>(value)
                    : request_class::non_idempotent;
}

std::optional<route_terms> read_terms(const wire::shared_address& in)
{
    if (!in.has_terms())
    {
        return std::nullopt;
    }
    const wire::route_terms& terms = in.terms();
    return route_terms{read_class(terms.requests()),
                       duration(static_cast<duration::rep>(terms.timeout_ns())),
                       duration(static_cast<duration::rep>(terms.aim_ns())),
                       terms.priority()};
}

std::vector<service_id>
read_services(const google::protobuf::RepeatedField<std::uint32_t>& in)
{
    std::vector<service_id> services;
    for (const std::uint32_t each : in)
    {
        services.emplace_back(each);
    }
    return services;
}

void write_share(const address_share& share, wire::shared_address& out)
{
    write_address(share.address.address, *out.mutable_address());
    out.set_port(share.address.port);
    out.set_weight(share.weight);
    if (share.terms)
    {
        write_terms(*share.terms, *out.mutable_terms());
    }
    for (const service_id former : share.former)
    {
        out.add_former(former.value());
    }
}

result<address_share> read_share(const wire::shared_address& in)
{
    const auto address = read_endpoint(in.address(), in.port());
    if (!address)
    {
        return tl::unexpected<error>(address.error());
    }
    return address_share{*address, in.weight(), read_terms(in),
                         read_services(in.former())};
}

void write_former(const former_address& former, wire::former_address& out)
{
    write_address(former.address.address, *out.mutable_address());
    out.set_port(former.address.port);
    for (const service_id service : former.services)
    {
        out.add_services(service.value());
    }
}

void write_service(const service& declared, wire::service_declaration& out)
{
    out.set_id(declared.id.value());
    out.set_name(declared.name);
    out.set_protocol(static_cast<std::uint32_t>(declared.protocol));
    for (const endpoint& address : declared.addresses)
    {
        auto& to = *out.add_addresses();
        write_address(address.address, *to.mutable_address());
        to.set_port(address.port);
    }
    for (const address_share& share : declared.shares)
    {
        write_share(share, *out.add_shares());
    }
    for (const former_address& former : declared.former)
    {
        write_former(former, *out.add_former());
    }
    out.set_slots(declared.limits.slots);
    out.set_connections(declared.limits.connections);
    out.set_cold_flows_per_second(declared.limits.cold_flows_per_second);
    out.set_goal(static_cast<std::uint32_t>(declared.sharing.goal));
    out.set_candidates(declared.sharing.candidates);
    out.set_cold_start_ns(
        static_cast<std::uint64_t>(declared.sharing.cold_start.count()));
    out.set_silent_after_ns(
        static_cast<std::uint64_t>(declared.sharing.silent_after.count()));
    for (const request_kind& kind : declared.kinds)
    {
        auto& to = *out.add_kinds();
        to.set_name(kind.name);
        to.set_weight(kind.weight);
        to.set_idempotent(kind.idempotent);
    }
}

result<service> read_service(const wire::service_declaration& in)
{
    if (in.id() >= first_balancer_group)
    {
        return fail(error_kind::invalid, "id", "is a group of balancers");
    }
    service out;
    out.id = service_id(in.id());
    out.name = in.name();
    out.protocol = static_cast<transport>(in.protocol());
    for (const auto& address : in.addresses())
    {
        const auto read = read_endpoint(address.address(), address.port());
        if (!read)
        {
            return tl::unexpected<error>(read.error());
        }
        out.addresses.push_back(*read);
    }
    for (const auto& share : in.shares())
    {
        const auto read = read_share(share);
        if (!read)
        {
            return tl::unexpected<error>(read.error());
        }
        out.shares.push_back(*read);
    }
    for (const auto& former : in.former())
    {
        const auto read = read_endpoint(former.address(), former.port());
        if (!read)
        {
            return tl::unexpected<error>(read.error());
        }
        out.former.push_back(
            former_address{*read, read_services(former.services())});
    }
    out.limits.slots = in.slots();
    out.limits.connections = in.connections();
    out.limits.cold_flows_per_second = in.cold_flows_per_second();
    out.sharing.goal = static_cast<service_goal>(in.goal());
    out.sharing.candidates = in.candidates();
    out.sharing.cold_start =
        duration(static_cast<duration::rep>(in.cold_start_ns()));
    out.sharing.silent_after =
        duration(static_cast<duration::rep>(in.silent_after_ns()));
    for (const auto& kind : in.kinds())
    {
        out.kinds.push_back(
            request_kind{kind.name(), kind.weight(), kind.idempotent()});
    }
    return out;
}

std::uint64_t content_hash(const upstream_record& record, bool drained)
{
    if (record.state == upstream_state::gone)
    {
        return 0;
    }
    std::uint64_t hash = stable_hash(record.id.value(), record.service.value());
    hash = combine_hash(hash, record.started.value());
    hash = hash_endpoint(record.agent, hash);
    hash = stable_hash(record.where.value(), hash);
    hash = combine_hash(hash, record.weight);
    hash = combine_hash(hash, static_cast<std::uint64_t>(record.state));
    return combine_hash(hash, drained ? 1 : 0) | 1U;
}

std::size_t encoded_size(const service& declared)
{
    wire::service_declaration message;
    write_service(declared, message);
    return message.ByteSizeLong();
}

std::uint64_t content_hash(const service& declared)
{
    wire::service_declaration message;
    write_service(declared, message);
    // The message has no map fields, so its encoding is deterministic.
    return stable_hash(message.SerializeAsString()) | 1U;
}

} // namespace crowlink::internal
