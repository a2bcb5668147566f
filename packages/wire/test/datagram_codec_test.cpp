#include "crowlink/wire.hpp"

#include "packet.pb.h"

#include <gtest/gtest.h>
#include <random>
#include <sodium/crypto_shorthash.h>

namespace crowlink
{
namespace
{

constexpr std::uint64_t seed = 20261202;
constexpr std::size_t prefix_size = 5;
constexpr std::size_t hash_size = 8;
constexpr std::size_t random_rounds = 2000;

using bytes = std::vector<std::uint8_t>;
using engine = std::mt19937_64;

datagram_key key(std::uint8_t id)
{
    datagram_key value;
    value.id = id;
    value.bytes.fill(static_cast<std::uint8_t>(id * 3 + 1));
    return value;
}

const datagram_codec codec(key_ring{key(1), {}});

endpoint random_endpoint(engine& random)
{
    ip_address::bytes_type raw{};
    for (auto& byte : raw)
    {
        byte = static_cast<std::uint8_t>(random());
    }
    const auto port = static_cast<std::uint16_t>(random());
    if (random() % 2 == 0)
    {
        return endpoint{ip_address(raw), port};
    }
    return endpoint{ip_address::from_v4(std::span(raw).first<4>()), port};
}

flow_key random_flow(engine& random)
{
    const auto protocol = random() % 2 == 0 ? transport::tcp : transport::udp;
    return flow_key{random_endpoint(random), random_endpoint(random), protocol};
}

candidate random_candidate(engine& random)
{
    return candidate{random_endpoint(random),
                     static_cast<upstream_tag>(random() % 3 * random())};
}

forward_datagram random_forward(engine& random, const bytes& payload)
{
    forward_datagram value;
    packet_header& header = value.header;
    header.service = service_id(static_cast<std::uint32_t>(random() % 70000));
    header.table = random() % 5 == 0 ? 0 : random();
    header.flow = random_flow(random);
    header.role = static_cast<packet_role>(random() % 4);
    header.pass = static_cast<packet_pass>(
        random() % (static_cast<unsigned>(last_packet_pass) + 1));
    const std::size_t current = 1 + random() % candidate_chain::capacity;
    for (std::size_t i = 0; i < current; ++i)
    {
        header.current.push_back(random_candidate(random));
    }
    for (std::size_t i = random() % (candidate_chain::capacity + 1); i > 0; --i)
    {
        header.previous.push_back(random_candidate(random));
    }
    header.position = static_cast<std::uint8_t>(random() % current);
    header.hops = static_cast<std::uint8_t>(random());
    if (random() % 2 == 0)
    {
        header.best = static_cast<std::uint8_t>(random() % current);
        header.best_load = static_cast<std::uint32_t>(random());
        header.omits_services = random() % 2 == 0;
    }
    header.return_to = random_endpoint(random);
    value.payload = payload;
    return value;
}

bytes encode(const datagram_codec& by, const datagram& value)
{
    bytes buffer(datagram_codec::buffer_size);
    buffer.resize(by.encode(value, buffer));
    return buffer;
}

template <class Message>
Message parsed(const bytes& encoded)
{
    Message message;
    EXPECT_TRUE(message.ParseFromArray(
        encoded.data() + prefix_size,
        static_cast<int>(encoded.size() - prefix_size - hash_size)));
    return message;
}

// The bytes that the generated class writes, in our frame.
template <class Message>
bytes reframed(const bytes& encoded)
{
    const std::string text = parsed<Message>(encoded).SerializeAsString();
    bytes framed(encoded.begin(), encoded.begin() + prefix_size);
    framed.insert(framed.end(), text.begin(), text.end());
    framed.insert(framed.end(), encoded.end() - hash_size, encoded.end());
    return framed;
}

void sign(bytes& frame, std::size_t authenticated)
{
    frame[3] = static_cast<std::uint8_t>(authenticated >> 8U);
    frame[4] = static_cast<std::uint8_t>(authenticated);
    crypto_shorthash(frame.data() + frame.size() - hash_size, frame.data(),
                     authenticated, key(1).bytes.data());
}

std::string wire(const endpoint& value)
{
    const auto& raw = value.address.bytes();
    std::string text(raw.begin() + (value.address.is_v4() ? 12 : 0), raw.end());
    text.push_back(static_cast<char>(value.port >> 8U));
    text.push_back(static_cast<char>(value.port));
    return text;
}

TEST(datagram_codec, forward_datagrams_agree_with_the_generated_class)
{
    engine random(seed);
    for (std::size_t round = 0; round < random_rounds; ++round)
    {
        const bytes payload(random() % 300, std::uint8_t{7});
        const auto value = random_forward(random, payload);
        const bytes encoded = encode(codec, value);
        ASSERT_LE(encoded.size(),
                  payload.size() + datagram_codec::overhead_limit);
        const auto message = parsed<messages::Forward>(encoded);
        const packet_header& header = value.header;
        ASSERT_EQ(message.service(), header.service.value());
        ASSERT_EQ(message.table(), header.table);
        ASSERT_EQ(message.flow().caller(), wire(header.flow.caller));
        ASSERT_EQ(message.position(), header.position);
        ASSERT_EQ(message.current_size(), int(header.current.size()));
        ASSERT_EQ(message.previous_size(), int(header.previous.size()));
        ASSERT_EQ(message.current(0).agent(), wire(header.current[0].agent));
        ASSERT_EQ(message.return_to(), wire(header.return_to));
        ASSERT_EQ(message.payload().size(), payload.size());
        ASSERT_EQ(reframed<messages::Forward>(encoded), encoded);
        const auto back = codec.decode(encoded);
        ASSERT_TRUE(back.has_value());
        const auto& got = std::get<forward_datagram>(*back);
        ASSERT_EQ(got.header, header);
        ASSERT_TRUE(std::equal(got.payload.begin(), got.payload.end(),
                               payload.begin(), payload.end()));
    }
}

TEST(datagram_codec, the_other_datagrams_agree_with_the_generated_classes)
{
    engine random(seed);
    for (std::size_t round = 0; round < random_rounds; ++round)
    {
        const bytes payload(random() % 20, std::uint8_t{9});
        const answer_datagram answer{random_flow(random), payload};
        const bytes answered = encode(codec, answer);
        ASSERT_EQ(reframed<messages::Answer>(answered), answered);
        const auto answer_back = codec.decode(answered);
        ASSERT_EQ(std::get<answer_datagram>(*answer_back).flow, answer.flow);

        notice_datagram notice;
        notice.flow = random_flow(random);
        notice.outcome = static_cast<verdict>(random() % 3);
        notice.reason = static_cast<notice_reason>(random() % 6);
        notice.retry_after = std::chrono::milliseconds(random() % 100000);
        notice.sequence = static_cast<std::uint32_t>(random());
        notice.acknowledgement = static_cast<std::uint32_t>(random());
        const bytes noticed = encode(codec, notice);
        ASSERT_EQ(reframed<messages::Notice>(noticed), noticed);
        ASSERT_EQ(std::get<notice_datagram>(*codec.decode(noticed)), notice);

        const redirect_datagram redirect{
            random_flow(random), service_id(7),
            static_cast<upstream_tag>(random()), random_candidate(random),
            std::chrono::milliseconds(random() % 100000)};
        const bytes redirected = encode(codec, redirect);
        ASSERT_EQ(reframed<messages::Redirect>(redirected), redirected);
        ASSERT_EQ(std::get<redirect_datagram>(*codec.decode(redirected)),
                  redirect);

        const bytes message(1 + random() % 20, std::uint8_t{8});
        const peer_datagram told{message};
        const bytes telling = encode(codec, told);
        ASSERT_EQ(reframed<messages::Peer>(telling), telling);
        const auto told_back = codec.decode(telling);
        ASSERT_TRUE(told_back.has_value());
        const auto& heard = std::get<peer_datagram>(*told_back).message;
        ASSERT_TRUE(std::equal(heard.begin(), heard.end(), message.begin(),
                               message.end()));

        const withdrawal_datagram withdrawal{redirect.flow, redirect.service,
                                             redirect.receiver, redirect.owner};
        const bytes withdrawn = encode(codec, withdrawal);
        ASSERT_EQ(reframed<messages::Withdrawal>(withdrawn), withdrawn);
        ASSERT_EQ(std::get<withdrawal_datagram>(*codec.decode(withdrawn)),
                  withdrawal);
    }
}

TEST(datagram_codec, needs_room_for_the_payload_and_its_overhead)
{
    engine random(seed);
    const bytes payload(100, std::uint8_t{1});
    const auto value = random_forward(random, payload);
    bytes buffer(payload.size() + datagram_codec::overhead_limit - 1);
    EXPECT_EQ(codec.encode(value, buffer), 0U);
    buffer.push_back(0);
    EXPECT_GT(codec.encode(value, buffer), payload.size());
}

TEST(datagram_codec, two_keys_are_accepted_while_hosts_change_keys)
{
    const notice_datagram value{};
    const datagram_codec old_only(key_ring{key(1), {}});
    const datagram_codec both(key_ring{key(2), key(1)});
    const datagram_codec new_only(key_ring{key(2), {}});
    EXPECT_TRUE(both.decode(encode(old_only, value)).has_value());
    EXPECT_TRUE(both.decode(encode(new_only, value)).has_value());
    EXPECT_EQ(new_only.decode(encode(old_only, value)).error(),
              datagram_drop::unknown_key);
    datagram_key forged = key(2);
    forged.bytes[15] ^= 1U;
    const datagram_codec forger(key_ring{forged, {}});
    EXPECT_EQ(both.decode(encode(forger, value)).error(),
              datagram_drop::not_authentic);
}

TEST(datagram_codec, a_changed_byte_before_the_payload_is_noticed)
{
    engine random(seed);
    const bytes payload(50, std::uint8_t{3});
    const auto value = random_forward(random, payload);
    const bytes good = encode(codec, value);
    const std::size_t payload_at = good.size() - hash_size - payload.size();
    for (std::size_t at = 0; at < payload_at; ++at)
    {
        bytes bad = good;
        bad[at] ^= 0x10U;
        ASSERT_FALSE(codec.decode(bad).has_value()) << at;
    }
    // Cut or lengthened, the payload no longer is what the header says.
    bytes longer = good;
    longer.insert(longer.begin() + static_cast<std::ptrdiff_t>(payload_at), 1);
    EXPECT_FALSE(codec.decode(longer).has_value());
    bytes shorter = good;
    shorter.erase(shorter.begin() + static_cast<std::ptrdiff_t>(payload_at));
    EXPECT_FALSE(codec.decode(shorter).has_value());
}

TEST(datagram_codec, fields_behind_the_hashed_part_are_refused)
{
    // The service comes after the hashed part, as an attacker could append it.
    bytes frame = encode(codec, answer_datagram{});
    const std::size_t authenticated = frame.size() - hash_size;
    const bytes hidden{0x78, 0x05};
    frame.insert(frame.begin() + static_cast<std::ptrdiff_t>(authenticated),
                 hidden.begin(), hidden.end());
    sign(frame, authenticated);
    EXPECT_EQ(codec.decode(frame).error(), datagram_drop::malformed);
}

TEST(datagram_codec, every_drop_has_its_reason)
{
    const bytes good = encode(codec, notice_datagram{});
    EXPECT_EQ(codec.decode(std::span(good).first(12)).error(),
              datagram_drop::truncated);
    bytes other = good;
    other[0] = 9;
    EXPECT_EQ(codec.decode(other).error(), datagram_drop::unknown_version);
    other = good;
    other[4] = 200;
    EXPECT_EQ(codec.decode(other).error(), datagram_drop::truncated);
    other = good;
    other[2] = 77;
    sign(other, other.size() - hash_size);
    EXPECT_EQ(codec.decode(other).error(), datagram_drop::malformed);
    // An empty notice names no flow.
    bytes bare(good.begin(), good.begin() + prefix_size);
    bare.resize(prefix_size + hash_size);
    sign(bare, prefix_size);
    EXPECT_EQ(codec.decode(bare).error(), datagram_drop::out_of_range);
    forward_datagram lost;
    lost.header.position = 1;
    lost.header.current.push_back(candidate{});
    EXPECT_EQ(codec.decode(encode(codec, lost)).error(),
              datagram_drop::out_of_range);
}

TEST(datagram_codec, signed_rubbish_is_dropped_and_never_crashes)
{
    engine random(seed);
    std::array<std::size_t, datagram_drop_count + 1> seen{};
    for (std::size_t round = 0; round < 20 * random_rounds; ++round)
    {
        const bytes payload(random() % 40, std::uint8_t{5});
        bytes frame = encode(codec, random_forward(random, payload));
        frame[2] = static_cast<std::uint8_t>(random() % 7);
        for (std::size_t hits = random() % 6; hits > 0; --hits)
        {
            const std::size_t body = frame.size() - prefix_size - hash_size;
            frame[prefix_size + random() % body] =
                static_cast<std::uint8_t>(random());
        }
        const std::size_t cut = random() % 4 == 0 ? random() % frame.size() : 0;
        frame.resize(std::max(frame.size() - cut, prefix_size + hash_size));
        const std::size_t body = frame.size() - prefix_size - hash_size;
        sign(frame, prefix_size + body - random() % (body + 1) / 4);
        const auto value = codec.decode(frame);
        const std::size_t reason =
            value ? datagram_drop_count
                  : static_cast<std::size_t>(value.error());
        ++seen[reason];
    }
    EXPECT_GT(seen[static_cast<std::size_t>(datagram_drop::malformed)], 0U);
    EXPECT_GT(seen[static_cast<std::size_t>(datagram_drop::out_of_range)], 0U);
    EXPECT_GT(seen[datagram_drop_count], 0U);
}

} // namespace
} // namespace crowlink
