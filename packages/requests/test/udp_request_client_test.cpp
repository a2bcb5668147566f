#include "crowlink/requests/udp_request_client.hpp"

#include "loopback_agent.hpp"

#include <gtest/gtest.h>

namespace crowlink::test
{
namespace
{

TEST(udp_request_client, receives_complete_answers_over_loopback)
{
    admission_settings settings;
    settings.kinds = {{"hold", 1, false}, {"read", 1, true}};
    loopback_agent agent(settings);
    auto client = udp_request_client::open({}, {agent.address()});
    ASSERT_TRUE(client);
    const std::string body(5000, 'b');
    client->send({"hold", false, std::chrono::seconds(60), body});
    client->send({"read", true, std::chrono::seconds(60), "short"});
    std::vector<request_outcome> outcomes;
    while (client->outstanding() > 0)
    {
        agent.serve();
        for (request_outcome& outcome :
             client->poll(std::chrono::milliseconds(1)))
        {
            outcomes.push_back(std::move(outcome));
        }
    }
    ASSERT_EQ(outcomes.size(), 2U);
    std::sort(outcomes.begin(), outcomes.end());
    EXPECT_EQ(outcomes[0].answer.outcome, verdict::ran);
    EXPECT_EQ(outcomes[0].answer.body, reference_service::answer("hold", body));
    EXPECT_EQ(outcomes[1].answer.body,
              reference_service::answer("read", "short"));
}

TEST(udp_request_client,
     a_request_to_a_silent_service_is_unreachable_and_not_run)
{
    // The agent reserves its port but is never served.
    loopback_agent silent({});
    auto client = udp_request_client::open({}, {silent.address()});
    ASSERT_TRUE(client);
    client->send({"hold", false, std::chrono::milliseconds(20), ""});
    std::vector<request_outcome> outcomes;
    while (outcomes.empty())
    {
        outcomes = client->poll(std::chrono::seconds(60));
    }
    EXPECT_EQ(outcomes[0].answer.outcome, verdict::not_run);
    EXPECT_EQ(outcomes[0].answer.reason, answer_reason::unreachable);
}

TEST(udp_request_client, open_fails_without_an_address)
{
    EXPECT_FALSE(udp_request_client::open({}, {}));
}

} // namespace
} // namespace crowlink::test
