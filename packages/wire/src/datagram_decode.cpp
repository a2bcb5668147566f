#include "crowlink/wire/datagram_codec.hpp"

#include "authenticate.hpp"
#include "message_reader.hpp"
#include "packet_fields.hpp"

#include <sodium/utils.h>

namespace crowlink
{

namespace
{

using internal::datagram_kind;
using internal::message_reader;
namespace prefix = internal::prefix;

using byte_view = std::span<const std::uint8_t>;
using decoded = tl::expected<datagram, datagram_drop>;

tl::unexpected<datagram_drop> drop(datagram_drop reason)
{
    return tl::unexpected<datagram_drop>(reason);
}

// Chains hold at most their capacity; a longer one is an error, not cut.
void append(candidate_chain& chain, message_reader& in)
{
    if (chain.size() == candidate_chain::capacity)
    {
        in.fail(datagram_drop::out_of_range);
        return;
    }
    chain.push_back(in.read_candidate());
}

template <class Enumeration>
Enumeration read_enumerator(message_reader& in, Enumeration last)
{
    return static_cast<Enumeration>(
        in.varint(static_cast<std::uint32_t>(last)));
}

// A position as it travels: one more, so that zero stands for none.
std::uint8_t read_best(message_reader& in)
{
    const std::uint32_t found = in.varint(2 * candidate_chain::capacity);
    return found == 0 ? packet_header::no_position
                      : static_cast<std::uint8_t>(found - 1);
}

void read_field(message_reader& in, std::uint32_t found,
                forward_datagram& value)
{
    namespace tags = internal::forward_tag;
    packet_header& header = value.header;
    switch (found)
    {
    case tags::service:
        header.service = service_id(in.varint());
        break;
    case tags::table:
        header.table = in.fixed64();
        break;
    case tags::flow:
        header.flow = in.read_flow();
        break;
    case tags::role:
        header.role = read_enumerator(in, packet_role::resets);
        break;
    case tags::pass:
        header.pass = read_enumerator(in, last_packet_pass);
        break;
    case tags::position:
        header.position = static_cast<std::uint8_t>(in.varint(UINT8_MAX));
        break;
    case tags::hops:
        header.hops = static_cast<std::uint8_t>(in.varint(UINT8_MAX));
        break;
    case tags::current:
        append(header.current, in);
        break;
    case tags::previous:
        append(header.previous, in);
        break;
    case tags::return_to:
        header.return_to = in.read_endpoint();
        break;
    case tags::best:
        header.best = read_best(in);
        break;
    case tags::best_load:
        header.best_load = in.varint();
        break;
    case tags::omits_services:
        header.omits_services = in.varint() != 0;
        break;
    case internal::payload_tag:
        value.payload = in.bytes();
        break;
    default:
        in.skip(found);
    }
}

void read_field(message_reader& in, std::uint32_t found, answer_datagram& value)
{
    switch (found)
    {
    case internal::answer_tag::flow:
        value.flow = in.read_flow();
        break;
    case internal::payload_tag:
        value.payload = in.bytes();
        break;
    default:
        in.skip(found);
    }
}

// A verdict travels as its number and one, so that zero is none.
verdict read_outcome(message_reader& in)
{
    const std::uint32_t number = in.varint();
    if (number == 0 ||
        number > static_cast<std::uint32_t>(verdict::may_have_run) + 1)
    {
        in.fail(datagram_drop::out_of_range);
        return verdict::may_have_run;
    }
    return static_cast<verdict>(number - 1);
}

void read_field(message_reader& in, std::uint32_t found, notice_datagram& value)
{
    namespace tags = internal::notice_tag;
    switch (found)
    {
    case tags::flow:
        value.flow = in.read_flow();
        break;
    case tags::outcome:
        value.outcome = read_outcome(in);
        break;
    case tags::reason:
        value.reason = read_enumerator(in, notice_reason::no_service);
        break;
    case tags::retry_after:
        value.retry_after = std::chrono::milliseconds(in.varint());
        break;
    case tags::sequence:
        value.sequence = in.fixed32();
        break;
    case tags::acknowledgement:
        value.acknowledgement = in.fixed32();
        break;
    default:
        in.skip(found);
    }
}

// What redirects and withdrawals have in common.
template <class Value>
void read_owner_field(message_reader& in, std::uint32_t found, Value& value)
{
    namespace tags = internal::redirect_tag;
    switch (found)
    {
    case tags::flow:
        value.flow = in.read_flow();
        break;
    case tags::service:
        value.service = service_id(in.varint());
        break;
    case tags::receiver:
        value.receiver = in.fixed32();
        break;
    case tags::owner:
        value.owner = in.read_candidate();
        break;
    default:
        in.skip(found);
    }
}

void read_field(message_reader& in, std::uint32_t found,
                redirect_datagram& value)
{
    if (found == internal::redirect_tag::lifetime)
    {
        value.lifetime = std::chrono::milliseconds(in.varint());
        return;
    }
    read_owner_field(in, found, value);
}

void read_field(message_reader& in, std::uint32_t found,
                withdrawal_datagram& value)
{
    read_owner_field(in, found, value);
}

void read_field(message_reader& in, std::uint32_t found, peer_datagram& value)
{
    if (found == internal::peer_tag::message)
    {
        value.message = in.bytes();
        return;
    }
    in.skip(found);
}

// The tag of the field that every host sends in each message.
template <class Value>
constexpr std::uint32_t flow_field = internal::answer_tag::flow;
template <>
constexpr std::uint32_t flow_field<forward_datagram> =
    internal::forward_tag::flow;
template <>
constexpr std::uint32_t flow_field<peer_datagram> = internal::peer_tag::message;

bool plausible(const forward_datagram& value)
{
    const packet_header& header = value.header;
    return header.position < header.current.size() + header.previous.size();
}

template <class Value>
bool plausible(const Value&)
{
    return true;
}

// Reads into the result itself: the value is large.
template <class Value>
decoded read_message(byte_view message)
{
    message_reader in(message);
    decoded read(tl::in_place, std::in_place_type<Value>);
    Value& value = *std::get_if<Value>(&*read);
    bool has_flow = false;
    while (const std::uint32_t found = in.next_tag())
    {
        has_flow = has_flow || found == flow_field<Value>;
        read_field(in, found, value);
    }
    if (in.failure())
    {
        read = drop(*in.failure());
    }
    else if (!has_flow || !plausible(value))
    {
        read = drop(datagram_drop::out_of_range);
    }
    return read;
}

// Prefix and message of a datagram.
byte_view without_hash(byte_view bytes)
{
    return bytes.first(bytes.size() - internal::hash_size);
}

// The length that the prefix states.
std::size_t authenticated_length(byte_view bytes)
{
    return std::size_t{bytes[prefix::length_at]} << 8U |
           bytes[prefix::length_at + 1];
}

decoded read_kind(byte_view body)
{
    const byte_view message = body.subspan(prefix::size);
    switch (static_cast<datagram_kind>(body[prefix::kind_at]))
    {
    case datagram_kind::forward:
        return read_message<forward_datagram>(message);
    case datagram_kind::answer:
        return read_message<answer_datagram>(message);
    case datagram_kind::notice:
        return read_message<notice_datagram>(message);
    case datagram_kind::redirect:
        return read_message<redirect_datagram>(message);
    case datagram_kind::withdrawal:
        return read_message<withdrawal_datagram>(message);
    case datagram_kind::peer:
        return read_message<peer_datagram>(message);
    }
    return drop(datagram_drop::malformed);
}

// Whether the part that was not authenticated is the message's payload and
// nothing else: no field may hide behind the authenticated part.
bool covers_all_but_payload(const datagram& value, byte_view unhashed)
{
    byte_view payload;
    if (const auto* forward = std::get_if<forward_datagram>(&value))
    {
        payload = forward->payload;
    }
    else if (const auto* answer = std::get_if<answer_datagram>(&value))
    {
        payload = answer->payload;
    }
    return unhashed.empty() || (payload.data() == unhashed.data() &&
                                payload.size() == unhashed.size());
}

} // namespace

const datagram_key* datagram_codec::find_key(std::uint8_t id) const
{
    if (m_keys.signing.id == id)
    {
        return &m_keys.signing;
    }
    const bool accepted = m_keys.accepted && m_keys.accepted->id == id;
    return accepted ? &*m_keys.accepted : nullptr;
}

std::optional<datagram_drop>
datagram_codec::check(std::span<const std::uint8_t> bytes) const
{
    if (bytes.size() < prefix::size + internal::hash_size ||
        bytes.size() > buffer_size)
    {
        return datagram_drop::truncated;
    }
    if (bytes[prefix::version_at] != prefix::version)
    {
        return datagram_drop::unknown_version;
    }
    const datagram_key* const key = find_key(bytes[prefix::key_at]);
    if (key == nullptr)
    {
        return datagram_drop::unknown_key;
    }
    const std::size_t authenticated = authenticated_length(bytes);
    const byte_view body = without_hash(bytes);
    if (authenticated < prefix::size || authenticated > body.size())
    {
        return datagram_drop::truncated;
    }
    const auto hash = internal::authenticate(*key, body.first(authenticated));
    const std::uint8_t* const sent = bytes.data() + body.size();
    if (sodium_memcmp(hash.data(), sent, hash.size()) != 0)
    {
        return datagram_drop::not_authentic;
    }
    return std::nullopt;
}

tl::expected<datagram, datagram_drop>
datagram_codec::decode(std::span<const std::uint8_t> bytes) const
{
    // One variable is returned on each way, so that it need not be copied.
    const auto failed = check(bytes);
    decoded value =
        failed ? decoded(drop(*failed)) : read_kind(without_hash(bytes));
    if (value &&
        !covers_all_but_payload(
            *value, without_hash(bytes).subspan(authenticated_length(bytes))))
    {
        value = drop(datagram_drop::malformed);
    }
    return value;
}

} // namespace crowlink
