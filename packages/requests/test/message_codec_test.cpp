#include "crowlink/base/random.hpp"
#include "crowlink/requests.hpp"

#include <gtest/gtest.h>

namespace crowlink
{
namespace
{

constexpr std::uint64_t fixed_seed = 4711;
constexpr int rounds = 20000;

const ticket some_ticket{incarnation(3), 4, 5};

request_part some_request()
{
    return {{1, 2}, 3,      some_ticket, 7,
            6,      "hold", false,       std::chrono::milliseconds(20),
            1,      2,      "body"};
}

const std::vector<caller_message> caller_messages = {
    open_session{9}, some_request(), request_cancel{{1, 2}, 3, some_ticket, 7}};

const std::vector<agent_message> agent_messages = {
    session_opened{9, some_ticket, {}},
    session_opened{9, std::nullopt, std::chrono::milliseconds(5)},
    answer_part{{1, 2},
                3,
                verdict::not_run,
                answer_reason::overloaded,
                std::chrono::milliseconds(7),
                0,
                1,
                "x"}};

const std::vector<upstream_command> upstream_commands = {
    upstream_run{{incarnation(3), 8}, "hold", std::chrono::seconds(1), "body"},
    upstream_cancel{{incarnation(3), 8}}};

const upstream_answer some_upstream_answer{
    {incarnation(3), 8}, verdict::ran, std::chrono::seconds(2), "answer"};

// Randomly changes, truncates or extends a datagram.
std::string damage(std::string bytes, seeded_random& random)
{
    const int changes = 1 + static_cast<int>(random() % 4);
    for (int change = 0; change < changes && !bytes.empty(); ++change)
    {
        const std::size_t at = random() % bytes.size();
        switch (random() % 3)
        {
        case 0:
            bytes[at] = static_cast<char>(random());
            break;
        case 1:
            bytes.resize(at);
            break;
        default:
            bytes.insert(at, 1, static_cast<char>(random()));
        }
    }
    return bytes;
}

// Checks that messages, and damaged ones that are still accepted, round-trip.
template <class Message, class Decode>
void check_damaged(const std::vector<Message>& corpus, Decode decode)
{
    for (const Message& message : corpus)
    {
        EXPECT_EQ(decode(encode(message)), message);
    }
    seeded_random random(fixed_seed);
    int accepted = 0;
    for (int round = 0; round < rounds; ++round)
    {
        const Message& whole = corpus[random() % corpus.size()];
        const auto message = decode(damage(encode(whole), random));
        if (message)
        {
            ++accepted;
            ASSERT_EQ(decode(encode(*message)), message);
        }
    }
    EXPECT_GT(accepted, 0);
    EXPECT_LT(accepted, rounds);
}

TEST(message_codec, messages_round_trip_and_damaged_bytes_are_handled)
{
    check_damaged(caller_messages, decode_caller_message);
    check_damaged(agent_messages, decode_agent_message);
    check_damaged(upstream_commands, decode_upstream_command);
    check_damaged(std::vector<upstream_answer>{some_upstream_answer},
                  decode_upstream_answer);
}

TEST(message_codec, rejects_invalid_fields)
{
    const auto refused = [](request_part part)
    {
        return !decode_caller_message(encode(caller_message(part)));
    };
    request_part part = some_request();
    part.part = part.parts;
    EXPECT_TRUE(refused(part));
    part = some_request();
    part.parts = part_limit + 1;
    EXPECT_TRUE(refused(part));
    part = some_request();
    part.body.resize(part_body_limit + 1);
    EXPECT_TRUE(refused(part));
    part = some_request();
    part.kind.resize(kind_name_limit + 1);
    EXPECT_TRUE(refused(part));
    part = some_request();
    part.sequence = 0;
    EXPECT_TRUE(refused(part));
    EXPECT_FALSE(decode_caller_message(""));
}

TEST(message_codec, admission_and_caller_handle_damaged_datagrams)
{
    seeded_random random(fixed_seed);
    admission_settings settings;
    settings.kinds = {{"hold", 1, false}};
    request_admission agent(settings, incarnation(3));
    request_caller caller({}, seeded_random(1));
    caller_effects caller_output;
    admission_effects agent_output;
    time_point now{};
    for (int round = 0; round < rounds; ++round)
    {
        now += std::chrono::microseconds(random() % 2000);
        caller.submit(now, {"hold", false, std::chrono::milliseconds(50), "b"},
                      caller_output);
        caller.advance(now, caller_output);
        agent.advance(now, agent_output);
        for (const caller_datagram& sent : caller_output.datagrams)
        {
            agent.handle_datagram(now, {}, sent.bytes, agent_output);
            agent.handle_datagram(now, {}, damage(sent.bytes, random),
                                  agent_output);
        }
        caller_output = {};
        for (const std::string& run : agent_output.to_upstream)
        {
            agent.handle_upstream(now, damage(run, random), agent_output);
        }
        for (const admission_datagram& sent : agent_output.to_callers)
        {
            caller.receive(now, 0, damage(sent.bytes, random), caller_output);
            caller.receive(now, 0, sent.bytes, caller_output);
        }
        agent_output = {};
    }
    EXPECT_GT(agent.counts().invalid, 0U);
    EXPECT_GT(caller.ignored(), 0U);
    EXPECT_LE(agent.counts().running, settings.slots);
}

} // namespace
} // namespace crowlink
