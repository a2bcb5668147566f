#include "crowlink/wire/datagram_codec.hpp"

#include "authenticate.hpp"
#include "message_writer.hpp"
#include "packet_fields.hpp"

#include <algorithm>

namespace crowlink
{

namespace
{

using internal::datagram_kind;
using internal::message_writer;
namespace prefix = internal::prefix;

using payload_view = std::span<const std::uint8_t>;

std::uint32_t to_wire(std::chrono::milliseconds value)
{
    const auto least = std::max<std::int64_t>(value.count(), 0);
    return static_cast<std::uint32_t>(
        std::min<std::int64_t>(least, UINT32_MAX));
}

datagram_kind kind_of(const forward_datagram&)
{
    return datagram_kind::forward;
}
datagram_kind kind_of(const answer_datagram&)
{
    return datagram_kind::answer;
}
datagram_kind kind_of(const notice_datagram&)
{
    return datagram_kind::notice;
}

datagram_kind kind_of(const redirect_datagram&)
{
    return datagram_kind::redirect;
}

datagram_kind kind_of(const withdrawal_datagram&)
{
    return datagram_kind::withdrawal;
}

datagram_kind kind_of(const peer_datagram&)
{
    return datagram_kind::peer;
}

payload_view payload_of(const forward_datagram& value)
{
    return value.payload;
}
payload_view payload_of(const answer_datagram& value)
{
    return value.payload;
}
payload_view payload_of(const notice_datagram&)
{
    return {};
}
payload_view payload_of(const redirect_datagram&)
{
    return {};
}
payload_view payload_of(const withdrawal_datagram&)
{
    return {};
}

payload_view payload_of(const peer_datagram&)
{
    return {};
}

// The bytes that are authenticated beside the fields of bounded size.
template <class Value>
std::size_t extra_size(const Value&)
{
    return 0;
}
std::size_t extra_size(const peer_datagram& value)
{
    return value.message.size();
}

void put(message_writer& out, const forward_datagram& value)
{
    namespace tags = internal::forward_tag;
    const packet_header& header = value.header;
    out.put_varint(tags::service, header.service.value());
    out.put_fixed64(tags::table, header.table);
    out.put_flow(tags::flow, header.flow);
    out.put_varint(tags::role, static_cast<std::uint32_t>(header.role));
    out.put_varint(tags::pass, static_cast<std::uint32_t>(header.pass));
    out.put_varint(tags::position, header.position);
    out.put_varint(tags::hops, header.hops);
    for (const candidate& next : header.current)
    {
        out.put_candidate(tags::current, next);
    }
    for (const candidate& next : header.previous)
    {
        out.put_candidate(tags::previous, next);
    }
    out.put_endpoint(tags::return_to, header.return_to);
    if (header.best != packet_header::no_position)
    {
        out.put_varint(tags::best, header.best + 1U);
    }
    out.put_varint(tags::best_load, header.best_load);
    if (header.omits_services)
    {
        out.put_varint(tags::omits_services, 1);
    }
}

void put(message_writer& out, const answer_datagram& value)
{
    out.put_flow(internal::answer_tag::flow, value.flow);
}

void put(message_writer& out, const notice_datagram& value)
{
    namespace tags = internal::notice_tag;
    out.put_flow(tags::flow, value.flow);
    out.put_varint(tags::outcome,
                   static_cast<std::uint32_t>(value.outcome) + 1);
    out.put_varint(tags::reason, static_cast<std::uint32_t>(value.reason));
    out.put_varint(tags::retry_after, to_wire(value.retry_after));
    out.put_fixed32(tags::sequence, value.sequence);
    out.put_fixed32(tags::acknowledgement, value.acknowledgement);
}

void put(message_writer& out, const redirect_datagram& value)
{
    namespace tags = internal::redirect_tag;
    out.put_flow(tags::flow, value.flow);
    out.put_varint(tags::service, value.service.value());
    out.put_fixed32(tags::receiver, value.receiver);
    out.put_candidate(tags::owner, value.owner);
    out.put_varint(tags::lifetime, to_wire(value.lifetime));
}

void put(message_writer& out, const withdrawal_datagram& value)
{
    namespace tags = internal::redirect_tag;
    out.put_flow(tags::flow, value.flow);
    out.put_varint(tags::service, value.service.value());
    out.put_fixed32(tags::receiver, value.receiver);
    out.put_candidate(tags::owner, value.owner);
}

void put(message_writer& out, const peer_datagram& value)
{
    out.put_bytes(internal::peer_tag::message, value.message);
}

void put_prefix(std::span<std::uint8_t> out, std::uint8_t key,
                datagram_kind kind, std::size_t authenticated)
{
    out[prefix::version_at] = prefix::version;
    out[prefix::key_at] = key;
    out[prefix::kind_at] = static_cast<std::uint8_t>(kind);
    out[prefix::length_at] = static_cast<std::uint8_t>(authenticated >> 8U);
    out[prefix::length_at + 1] = static_cast<std::uint8_t>(authenticated);
}

template <class Value>
std::size_t encode_value(const datagram_key& key, const Value& value,
                         std::span<std::uint8_t> out)
{
    const payload_view payload = payload_of(value);
    const std::size_t extra = extra_size(value);
    if (payload.size() > datagram_codec::payload_limit ||
        extra > datagram_codec::peer_limit ||
        out.size() < payload.size() + extra + datagram_codec::overhead_limit)
    {
        return 0;
    }
    message_writer writer(out.data() + prefix::size);
    put(writer, value);
    writer.put_payload_head(payload.size());
    const auto authenticated =
        static_cast<std::size_t>(writer.position() - out.data());
    put_prefix(out, key.id, kind_of(value), authenticated);
    std::uint8_t* const end =
        std::copy(payload.begin(), payload.end(), writer.position());
    const auto hash = internal::authenticate(key, out.first(authenticated));
    return static_cast<std::size_t>(std::copy(hash.begin(), hash.end(), end) -
                                    out.data());
}

} // namespace

std::size_t datagram_codec::encode(const forward_datagram& value,
                                   std::span<std::uint8_t> out) const
{
    return encode_value(m_keys.signing, value, out);
}

std::size_t datagram_codec::encode(const answer_datagram& value,
                                   std::span<std::uint8_t> out) const
{
    return encode_value(m_keys.signing, value, out);
}

std::size_t datagram_codec::encode(const notice_datagram& value,
                                   std::span<std::uint8_t> out) const
{
    return encode_value(m_keys.signing, value, out);
}

std::size_t datagram_codec::encode(const redirect_datagram& value,
                                   std::span<std::uint8_t> out) const
{
    return encode_value(m_keys.signing, value, out);
}

std::size_t datagram_codec::encode(const withdrawal_datagram& value,
                                   std::span<std::uint8_t> out) const
{
    return encode_value(m_keys.signing, value, out);
}

std::size_t datagram_codec::encode(const peer_datagram& value,
                                   std::span<std::uint8_t> out) const
{
    return encode_value(m_keys.signing, value, out);
}

std::size_t datagram_codec::encode(const datagram& value,
                                   std::span<std::uint8_t> out) const
{
    return std::visit([this, out](const auto& concrete)
                      { return encode_value(m_keys.signing, concrete, out); },
                      value);
}

} // namespace crowlink
