#include "console_fixture.hpp"

#include <atomic>
#include <thread>

namespace crowlink
{
namespace
{

using nlohmann::json;

class api : public console_fixture
{
};

TEST_F(api, only_a_bearer_of_a_token_is_let_in)
{
    for (const char* path : {"/v1/document", "/v1/history", "/v1/status",
                             "/v1/members", "/v1/explain", "/v1/evacuations"})
    {
        EXPECT_EQ(m_client->Get(path)->status, 401) << path;
        EXPECT_EQ(m_client->Get(path, {{"Authorization", "Bearer x"}})->status,
                  401);
    }
    for (const char* path : {"/v1/document", "/v1/drain", "/v1/undrain",
                             "/v1/members", "/v1/preview", "/v1/evacuations"})
    {
        EXPECT_EQ(m_client->Post(path, "{}", "application/json")->status, 401);
    }
    EXPECT_EQ(m_backend.effects(), 0U);
    EXPECT_NE(
        metrics_text().find("crowlink_console_refused_unauthorized_total 18\n"),
        std::string::npos)
        << metrics_text();
}

TEST_F(api, gives_the_current_and_an_older_document)
{
    ASSERT_EQ(post("/v1/document", {{"base_version", 1},
                                    {"operation_id", "a"},
                                    {"document", changed_document(2)}})
                  ->status,
              200);
    const auto current = body_of(get("/v1/document"));
    EXPECT_EQ(current["version"], 2);
    EXPECT_EQ(current["document"]["services"][0]["candidates"], 2);
    EXPECT_EQ(current["age_s"], 0.2);
    const auto older = body_of(get("/v1/document?version=1"));
    EXPECT_EQ(older["document"]["services"][0]["candidates"], 3);
    EXPECT_EQ(get("/v1/document?version=7")->status, 404);
    EXPECT_EQ(get("/v1/document?version=x")->status, 400);
}

TEST_F(api, a_document_may_come_as_text_with_comments)
{
    const auto answer =
        post("/v1/document",
             {{"base_version", 1},
              {"operation_id", "a"},
              {"document", R"({"regions":[],"services":[]} // empty)"}});
    EXPECT_EQ(answer->status, 200) << answer->body;
    EXPECT_TRUE(m_backend.document()->document.services.empty());
}

TEST_F(api, the_loser_of_a_race_sees_version_and_differences)
{
    const auto mine = changed_document(2);
    const auto theirs = changed_document(4);
    ASSERT_EQ(post("/v1/document", {{"base_version", 1},
                                    {"operation_id", "theirs"},
                                    {"document", theirs}})
                  ->status,
              200);
    const auto lost = post(
        "/v1/document",
        {{"base_version", 1}, {"operation_id", "mine"}, {"document", mine}});
    EXPECT_EQ(lost->status, 409);
    const auto body = body_of(lost);
    EXPECT_EQ(body["version"], 2);
    const json between = {
        {{"path", "/services/1/candidates"}, {"before", 3}, {"after", 4}}};
    EXPECT_EQ(body["changed_since"], between);
    EXPECT_EQ(body["difference"][0]["before"], 4);
    EXPECT_EQ(body["difference"][0]["after"], 2);
    EXPECT_EQ(m_backend.effects(), 1U);
}

TEST_F(api, a_resend_gets_the_first_answer)
{
    const json change = {{"base_version", 1},
                         {"operation_id", "a"},
                         {"document", changed_document(2)}};
    EXPECT_EQ(body_of(post("/v1/document", change))["version"], 2);
    ASSERT_EQ(
        post("/v1/drain", {{"upstream", "u9"}, {"operation_id", "b"}})->status,
        200);
    const auto again = post("/v1/document", change);
    EXPECT_EQ(again->status, 200);
    EXPECT_EQ(body_of(again)["version"], 2);
    json other = change;
    other["base_version"] = 3;
    EXPECT_EQ(post("/v1/document", other)->status, 400);
    EXPECT_EQ(m_backend.effects(), 2U);
}

TEST_F(api, of_many_racing_operators_one_wins)
{
    const auto document = changed_document(2);
    std::atomic<int> won{0};
    constexpr int count = 6;
    std::vector<std::thread> operators;
    operators.reserve(count);
    for (int at = 0; at < count; ++at)
    {
        operators.emplace_back(
            [this, at, &document, &won]
            {
                httplib::Client own("127.0.0.1", m_port);
                const json change = {{"base_version", 1},
                                     {"operation_id", std::to_string(at)},
                                     {"document", document}};
                const auto answer = own.Post("/v1/document", bearer(),
                                             change.dump(), "application/json");
                won += answer && answer->status == 200 ? 1 : 0;
            });
    }
    for (auto& each : operators)
    {
        each.join();
    }
    EXPECT_EQ(won, 1);
    EXPECT_EQ(m_backend.effects(), 1U);
}

TEST_F(api, all_errors_of_a_document_come_at_once)
{
    auto document = changed_document(9);
    document["drains"] = {"u2", "u2"};
    const auto answer = post(
        "/v1/document",
        {{"base_version", 1}, {"operation_id", "a"}, {"document", document}});
    EXPECT_EQ(answer->status, 422);
    EXPECT_EQ(body_of(answer)["errors"].size(), 2U);
    EXPECT_EQ(body_of(answer)["errors"][0]["path"], "/drains/1");
    EXPECT_EQ(m_backend.effects(), 0U);
}

TEST_F(api, requests_that_break_their_form_are_refused)
{
    const json broken[] = {
        {{"base_version", 1}, {"operation_id", "a b"}, {"document", {}}},
        {{"base_version", "1"}, {"operation_id", "a"}, {"document", {}}},
        {{"base_version", 1}, {"document", {}}},
        {{"base_version", 1},
         {"operation_id", std::string(65, 'a')},
         {"document", {}}},
        {{"base_version", 1}, {"operation_id", "a"}, {"extra", 1}},
        json::array(),
    };
    for (const auto& body : broken)
    {
        EXPECT_EQ(post("/v1/document", body)->status, 400) << body.dump();
    }
    const auto twice = m_client->Post("/v1/document", bearer(),
                                      R"({"base_version":1,"base_version":2})",
                                      "application/json");
    EXPECT_EQ(twice->status, 400);
    EXPECT_EQ(post("/v1/document", {{"base_version", 1}, {"operation_id", "a"}})
                  ->status,
              422);
}

TEST_F(api, without_a_quorum_it_says_when_to_try_again)
{
    m_backend.lose_quorum(true);
    const auto answer =
        post("/v1/document", {{"base_version", 1},
                              {"operation_id", "a"},
                              {"document", changed_document(2)}});
    EXPECT_EQ(answer->status, 503);
    EXPECT_EQ(answer->get_header_value("Retry-After"), "1");
    EXPECT_EQ(m_client->Get("/health/live")->status, 200);
    EXPECT_EQ(m_client->Get("/health/ready")->status, 503);
    m_backend.lose_quorum(false);
    EXPECT_EQ(m_client->Get("/health/ready")->status, 200);
}

TEST_F(api, a_drain_is_tried_again_when_others_are_faster)
{
    m_backend.race(3);
    const json drain = {{"upstream", "u5"}, {"operation_id", "a"}};
    const auto answer = post("/v1/drain", drain);
    ASSERT_EQ(answer->status, 200) << answer->body;
    EXPECT_EQ(body_of(answer)["version"], 5);
    const auto drains = m_backend.document()->document.drains;
    EXPECT_EQ(drains,
              (std::vector<upstream_id>{upstream_id("u2"), upstream_id("u5")}));
    EXPECT_EQ(body_of(post("/v1/drain", drain))["version"], 5);
    EXPECT_EQ(post("/v1/undrain", {{"upstream", "u2"}, {"operation_id", "b"}})
                  ->status,
              200);
    EXPECT_EQ(m_backend.document()->document.drains,
              std::vector<upstream_id>{upstream_id("u5")});
}

TEST_F(api, a_resent_drain_does_not_undo_what_came_between)
{
    m_backend.lose_answers(1);
    const json drain = {{"upstream", "u5"}, {"operation_id", "a"}};
    EXPECT_EQ(post("/v1/drain", drain)->status, 503);
    ASSERT_EQ(post("/v1/undrain", {{"upstream", "u5"}, {"operation_id", "b"}})
                  ->status,
              200);
    EXPECT_EQ(body_of(post("/v1/drain", drain))["version"], 2);
    EXPECT_EQ(m_backend.document()->document.drains,
              std::vector<upstream_id>{upstream_id("u2")});
}

TEST_F(api, a_drain_that_always_loses_ends)
{
    m_backend.race(1000);
    EXPECT_EQ(
        post("/v1/drain", {{"upstream", "u5"}, {"operation_id", "a"}})->status,
        503);
    EXPECT_EQ(
        post("/v1/drain", {{"upstream", "<u>"}, {"operation_id", "a"}})->status,
        400);
}

TEST_F(api, preview_changes_nothing)
{
    const auto answer =
        post("/v1/preview", {{"document", changed_document(1)}});
    EXPECT_EQ(body_of(answer)["difference"][0]["after"], 1);
    EXPECT_EQ(post("/v1/preview", {{"document", changed_document(0)}})->status,
              422);
    EXPECT_EQ(post("/v1/preview",
                   {{"document", changed_document(1)}, {"base_version", 9}})
                  ->status,
              404);
    EXPECT_EQ(m_backend.effects(), 0U);
}

TEST_F(api, members_are_added_replaced_and_removed)
{
    const json add = {{"action", "add"},
                      {"host", "c2"},
                      {"address", "10.0.0.2:7000"},
                      {"operation_id", "a"}};
    EXPECT_EQ(body_of(post("/v1/members", add))["members"].size(), 2U);
    json replace = add;
    replace["action"] = "replace";
    replace["host"] = "c3";
    EXPECT_EQ(post("/v1/members", replace)->status, 400);
    replace["replaced"] = "c2";
    const auto members = body_of(post("/v1/members", replace))["members"];
    EXPECT_EQ(members[1]["host"], "c3");
    EXPECT_EQ(members[1]["role"], "learner");
    const json remove = {
        {"action", "remove"}, {"host", "c3"}, {"operation_id", "c"}};
    EXPECT_EQ(post("/v1/members", remove)->status, 200);
    EXPECT_EQ(body_of(get("/v1/members"))["members"].size(), 1U);
}

TEST_F(api, evacuates_a_data_centre_and_takes_it_back)
{
    const json start = {{"action", "start"}, {"data_centre", "pasig"}};
    EXPECT_EQ(post("/v1/evacuations", start)->status, 200);
    const json listed = body_of(get("/v1/evacuations"))["evacuations"];
    ASSERT_EQ(listed.size(), 1U);
    EXPECT_EQ(listed[0]["data_centre"], "pasig");
    EXPECT_EQ(listed[0]["author"], "maria");
    json other = start;
    other["data_centre"] = "atlantis";
    EXPECT_EQ(post("/v1/evacuations", other)->status, 404);
    json pause = start;
    pause["action"] = "pause";
    EXPECT_EQ(post("/v1/evacuations", pause)->status, 400);
    json stop = start;
    stop["action"] = "stop";
    EXPECT_EQ(post("/v1/evacuations", stop)->status, 200);
    EXPECT_TRUE(body_of(get("/v1/evacuations"))["evacuations"].empty());
}

TEST_F(api, explains_a_flow)
{
    const auto answer =
        get("/v1/explain?flow=udp%20192.0.2.7:4711%20%3E%20127.0.0.1:7100");
    EXPECT_EQ(answer->status, 200) << answer->body;
    EXPECT_EQ(body_of(answer)["service_name"], "hiraman");
    EXPECT_EQ(body_of(answer)["chain"], (json{"u1", "u2"}));
    EXPECT_EQ(get("/v1/explain?flow=udp%201.1.1.1:1%202.2.2.2:2")->status, 404);
    EXPECT_EQ(get("/v1/explain?flow=icmp")->status, 400);
}

TEST_F(api, status_and_history)
{
    post("/v1/drain", {{"upstream", "u5"}, {"operation_id", "a"}});
    const auto status = body_of(get("/v1/status"));
    EXPECT_EQ(status["leader"], "c1");
    EXPECT_EQ(status["upstreams"][1]["state"], "draining");
    const auto history = body_of(get("/v1/history"))["history"];
    ASSERT_EQ(history.size(), 1U);
    EXPECT_EQ(history[0]["author"], "maria");
    EXPECT_EQ(get("/v1/history?most=0")->status, 400);
}

TEST_F(api, a_long_body_is_refused_and_counted)
{
    const auto answer =
        m_client->Post("/v1/document", bearer(), std::string(70U << 10U, 'x'),
                       "application/json");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 413);
    EXPECT_NE(metrics_text().find("refused_too_large_total 1\n"),
              std::string::npos);
    EXPECT_NE(metrics_text().find("crowlink_fake 1\n"), std::string::npos);
}

} // namespace
} // namespace crowlink
