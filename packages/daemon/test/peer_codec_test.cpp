#include "agent/peer_codec.hpp"

#include <gtest/gtest.h>
#include <random>

namespace crowlink::internal
{
namespace
{

std::span<const std::uint8_t> bytes_of(const std::string& text)
{
    return std::span(reinterpret_cast<const std::uint8_t*>(text.data()),
                     text.size());
}

std::vector<peer_message> examples()
{
    const candidate agent{*endpoint::parse("[2001:db8::1]:700"), 9};
    redirect_notice redirect{
        service_id(1), 5, agent, std::chrono::seconds(60), {}};
    for (std::size_t at = 0; at < redirect_notice::max_flows; ++at)
    {
        redirect.flows.push_back(
            owned_flow{flow_key{*endpoint::parse("[2001:db8::2]:4711"),
                                *endpoint::parse("[2001:db8::3]:80"),
                                at % 2 == 0 ? transport::tcp : transport::udp},
                       std::chrono::hours(24)});
    }
    redirect_notice short_one = redirect;
    short_one.flows.resize(1);
    short_one.flows[0].flow.caller = *endpoint::parse("192.0.2.1:80");
    owner_question question{service_id(4), 8, agent, {}};
    owner_answer answer{service_id(4), 9, agent, {}};
    for (const owned_flow& each : redirect.flows)
    {
        question.flows.push_back(each.flow);
    }
    question.flows.resize(owner_question::max_flows, question.flows.front());
    for (const flow_key& each : question.flows)
    {
        const auto state = static_cast<ownership>(answer.flows.size() % 3);
        answer.flows.push_back(stated_ownership{stable_hash(each), state});
    }
    return {
        redirect,
        short_one,
        load_notice{service_id(1), 2, 3, 4},
        load_notice{service_id(1), 2, 3, 4, std::chrono::microseconds(33'000)},
        shed_request{service_id(2), 6, agent},
        shed_grant{service_id(3), 7, std::chrono::seconds(2)},
        question,
        answer};
}

TEST(peer_codec, gives_back_what_was_written)
{
    for (const peer_message& message : examples())
    {
        const std::string text = encode_peer_message(message);
        EXPECT_EQ(decode_peer_message(bytes_of(text)), message);
        EXPECT_LE(text.size(), 1400U);
    }
}

// An agent of an earlier release neither writes nor knows the service time: the
// bytes without it are as before, and with it they only grow by a field.
TEST(peer_codec, reads_a_load_without_a_service_time)
{
    const std::string before("\x12\x0e\x08\x01\x15\x03\x00\x00\x00\x18\x04"
                             "\x25\x02\x00\x00\x00",
                             16);
    const load_notice unknown{service_id(1), 2, 3, 4};
    EXPECT_EQ(decode_peer_message(bytes_of(before)), peer_message(unknown));
    EXPECT_EQ(encode_peer_message(unknown), before);
    load_notice known = unknown;
    known.service_time = std::chrono::milliseconds(33);
    EXPECT_EQ(encode_peer_message(known).size(), before.size() + 4);
}

TEST(peer_codec, refuses_more_flows_than_a_notice_holds)
{
    redirect_notice large = std::get<redirect_notice>(examples().front());
    large.flows.push_back(large.flows.front());
    EXPECT_FALSE(decode_peer_message(bytes_of(encode_peer_message(large))));
}

TEST(peer_codec, refuses_more_flows_than_a_question_holds)
{
    const std::vector<peer_message> all = examples();
    owner_question question = std::get<owner_question>(all[all.size() - 2]);
    question.flows.push_back(question.flows.front());
    EXPECT_FALSE(decode_peer_message(bytes_of(encode_peer_message(question))));
    owner_answer answer = std::get<owner_answer>(all.back());
    answer.flows.push_back(answer.flows.front());
    EXPECT_FALSE(decode_peer_message(bytes_of(encode_peer_message(answer))));
}

TEST(peer_codec, refuses_an_answer_of_a_state_that_is_none)
{
    owner_answer answer = std::get<owner_answer>(examples().back());
    answer.flows.front().state = static_cast<ownership>(3);
    EXPECT_FALSE(decode_peer_message(bytes_of(encode_peer_message(answer))));
}

TEST(peer_codec, takes_any_bytes)
{
    constexpr int rounds = 20000;
    std::mt19937_64 random(20261202);
    const std::vector<peer_message> all = examples();
    for (int round = 0; round < rounds; ++round)
    {
        std::string text = encode_peer_message(all[random() % all.size()]);
        for (std::size_t left = random() % 4; left > 0; --left)
        {
            text[random() % text.size()] = static_cast<char>(random());
        }
        text.resize(random() % (text.size() + 1));
        (void)decode_peer_message(bytes_of(text));
    }
}

} // namespace
} // namespace crowlink::internal
