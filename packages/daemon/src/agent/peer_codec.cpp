#include "agent/peer_codec.hpp"

#include "peer.pb.h"

#include <algorithm>

namespace crowlink::internal
{

namespace
{

constexpr std::size_t v4_size = 4;
constexpr std::size_t port_size = 2;
constexpr unsigned byte_bits = 8;
constexpr std::uint32_t byte_mask = 0xff;

std::string to_wire(const endpoint& value)
{
    const auto& bytes = value.address.bytes();
    const std::size_t skipped =
        value.address.is_v4() ? ip_address::byte_count - v4_size : 0;
    std::string text(bytes.begin() + static_cast<std::ptrdiff_t>(skipped),
                     bytes.end());
    text.push_back(static_cast<char>(value.port >> byte_bits));
    text.push_back(static_cast<char>(value.port & byte_mask));
    return text;
}

bool from_wire(const std::string& text, endpoint& value)
{
    const std::size_t size = text.size() - std::min(text.size(), port_size);
    if (size != v4_size && size != ip_address::byte_count)
    {
        return false;
    }
    const std::span bytes(reinterpret_cast<const std::uint8_t*>(text.data()),
                          text.size());
    if (size == v4_size)
    {
        value.address = ip_address::from_v4(bytes.first<v4_size>());
    }
    else
    {
        ip_address::bytes_type whole{};
        std::copy_n(bytes.begin(), whole.size(), whole.begin());
        value.address = ip_address(whole);
    }
    value.port =
        static_cast<std::uint16_t>(bytes[size] << byte_bits | bytes[size + 1]);
    return true;
}

std::uint32_t to_us(duration value)
{
    const auto whole =
        std::chrono::duration_cast<std::chrono::microseconds>(value).count();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(whole, 0, UINT32_MAX));
}

std::uint32_t to_ms(duration value)
{
    const auto whole =
        std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(whole, 0, UINT32_MAX));
}

duration from_ms(std::uint64_t value)
{
    return std::chrono::milliseconds(
        std::min<std::uint64_t>(value, UINT32_MAX));
}

void write(const candidate& value, messages::PeerAgent& out)
{
    out.set_address(to_wire(value.agent));
    out.set_tag(value.tag);
}

bool read(const messages::PeerAgent& in, candidate& value)
{
    value.tag = in.tag();
    return from_wire(in.address(), value.agent);
}

void write(const flow_key& value, messages::PeerFlow& out)
{
    out.set_caller(to_wire(value.caller));
    out.set_service(to_wire(value.service));
    out.set_protocol(static_cast<std::uint32_t>(value.protocol));
}

void write(const redirect_notice& value, messages::PeerMessage& out)
{
    messages::RedirectNotice& body = *out.mutable_redirect();
    body.set_service(value.service.value());
    body.set_receiver(value.receiver);
    write(value.owner, *body.mutable_owner());
    body.set_lifetime_ms(to_ms(value.lifetime));
    for (const owned_flow& each : value.flows)
    {
        messages::PeerFlow& flow = *body.add_flows();
        write(each.flow, flow);
        flow.set_age_ms(to_ms(each.age));
    }
}

void write(const load_notice& value, messages::PeerMessage& out)
{
    messages::LoadNotice& body = *out.mutable_load();
    body.set_service(value.service.value());
    body.set_receiver(value.receiver);
    body.set_sender(value.sender);
    body.set_load(value.load);
    body.set_service_time_us(to_us(value.service_time));
}

void write(const shed_request& value, messages::PeerMessage& out)
{
    messages::ShedRequest& body = *out.mutable_shed_request();
    body.set_service(value.service.value());
    body.set_receiver(value.receiver);
    write(value.sender, *body.mutable_sender());
}

void write(const shed_grant& value, messages::PeerMessage& out)
{
    messages::ShedGrant& body = *out.mutable_shed_grant();
    body.set_service(value.service.value());
    body.set_receiver(value.receiver);
    body.set_lifetime_ms(to_ms(value.lifetime));
}

void write(const owner_question& value, messages::PeerMessage& out)
{
    messages::OwnerQuestion& body = *out.mutable_owner_question();
    body.set_service(value.service.value());
    body.set_receiver(value.receiver);
    write(value.sender, *body.mutable_sender());
    for (const flow_key& each : value.flows)
    {
        write(each, *body.add_flows());
    }
}

void write(const owner_answer& value, messages::PeerMessage& out)
{
    messages::OwnerAnswer& body = *out.mutable_owner_answer();
    body.set_service(value.service.value());
    body.set_receiver(value.receiver);
    write(value.sender, *body.mutable_sender());
    for (const stated_ownership& each : value.flows)
    {
        body.add_flows(each.flow);
        body.add_states(static_cast<std::uint32_t>(each.state));
    }
}

bool read(const messages::PeerFlow& in, flow_key& value)
{
    const bool is_tcp =
        in.protocol() == static_cast<std::uint32_t>(transport::tcp);
    const bool is_udp =
        in.protocol() == static_cast<std::uint32_t>(transport::udp);
    value.protocol = is_tcp ? transport::tcp : transport::udp;
    return (is_tcp || is_udp) && from_wire(in.caller(), value.caller) &&
           from_wire(in.service(), value.service);
}

std::optional<peer_message> read(const messages::RedirectNotice& in)
{
    redirect_notice value;
    value.service = service_id(in.service());
    value.receiver = in.receiver();
    value.lifetime = from_ms(in.lifetime_ms());
    const auto count = static_cast<std::size_t>(in.flows_size());
    if (!read(in.owner(), value.owner) || count > redirect_notice::max_flows)
    {
        return std::nullopt;
    }
    for (const messages::PeerFlow& each : in.flows())
    {
        owned_flow flow;
        flow.age = from_ms(each.age_ms());
        if (!read(each, flow.flow))
        {
            return std::nullopt;
        }
        value.flows.push_back(flow);
    }
    return value;
}

std::optional<peer_message> read(const messages::ShedRequest& in)
{
    shed_request value;
    value.service = service_id(in.service());
    value.receiver = in.receiver();
    if (!read(in.sender(), value.sender))
    {
        return std::nullopt;
    }
    return value;
}

std::optional<peer_message> read(const messages::OwnerQuestion& in)
{
    owner_question value;
    value.service = service_id(in.service());
    value.receiver = in.receiver();
    const auto count = static_cast<std::size_t>(in.flows_size());
    if (!read(in.sender(), value.sender) || count > owner_question::max_flows)
    {
        return std::nullopt;
    }
    for (const messages::PeerFlow& each : in.flows())
    {
        flow_key flow;
        if (!read(each, flow))
        {
            return std::nullopt;
        }
        value.flows.push_back(flow);
    }
    return value;
}

std::optional<peer_message> read(const messages::OwnerAnswer& in)
{
    owner_answer value;
    value.service = service_id(in.service());
    value.receiver = in.receiver();
    const int count = in.flows_size();
    const bool is_whole =
        in.states_size() == count &&
        static_cast<std::size_t>(count) <= owner_question::max_flows;
    if (!is_whole || !read(in.sender(), value.sender))
    {
        return std::nullopt;
    }
    for (int at = 0; at < count; ++at)
    {
        if (in.states(at) > static_cast<std::uint32_t>(last_ownership))
        {
            return std::nullopt;
        }
        value.flows.push_back(stated_ownership{
            in.flows(at), static_cast<ownership>(in.states(at))});
    }
    return value;
}

} // namespace

std::string encode_peer_message(const peer_message& message)
{
    messages::PeerMessage out;
    std::visit([&out](const auto& each) { write(each, out); }, message);
    return out.SerializeAsString();
}

std::optional<peer_message>
decode_peer_message(std::span<const std::uint8_t> bytes)
{
    messages::PeerMessage in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    {
        return std::nullopt;
    }
    switch (in.body_case())
    {
    case messages::PeerMessage::kRedirect:
        return read(in.redirect());
    case messages::PeerMessage::kLoad:
        return load_notice{
            service_id(in.load().service()), in.load().receiver(),
            in.load().sender(), in.load().load(),
            std::chrono::microseconds(in.load().service_time_us())};
    case messages::PeerMessage::kShedRequest:
        return read(in.shed_request());
    case messages::PeerMessage::kShedGrant:
        return shed_grant{service_id(in.shed_grant().service()),
                          in.shed_grant().receiver(),
                          from_ms(in.shed_grant().lifetime_ms())};
    case messages::PeerMessage::kOwnerQuestion:
        return read(in.owner_question());
    case messages::PeerMessage::kOwnerAnswer:
        return read(in.owner_answer());
    case messages::PeerMessage::BODY_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace crowlink::internal
