#include "console_fixture.hpp"

#include <regex>

namespace crowlink
{
namespace
{

// An operator who has signed in and sends what pages offer.
class forms : public console_fixture
{
protected:
    using items = httplib::MultipartFormDataItems;

    void SetUp() override
    {
        console_fixture::SetUp();
        const auto answer =
            m_client->Post("/sign-in", items{{"token", token, "", ""}});
        ASSERT_EQ(answer->status, 303);
        const auto cookie = answer->get_header_value("Set-Cookie");
        EXPECT_NE(cookie.find("HttpOnly; SameSite=Strict"), std::string::npos);
        m_session = {{"Cookie", cookie.substr(0, cookie.find(';'))}};
    }

    std::string page(const std::string& path)
    {
        const auto answer = m_client->Get(path, m_session);
        EXPECT_EQ(answer->status, 200) << path;
        return answer->body;
    }

    httplib::Result send(const std::string& path, const items& fields)
    {
        return m_client->Post(path, m_session, fields);
    }

    // The value of the last input of this name; empty if there is none.
    static std::string input(const std::string& html, const std::string& name)
    {
        const std::regex field("name=\"" + name + "\" value=\"([^\"]*)\"");
        std::string value;
        for (std::sregex_iterator at(html.begin(), html.end(), field), end;
             at != end; ++at)
        {
            value = (*at)[1];
        }
        return value;
    }

    // The fields of the form for the drains, as the page offers them.
    items drain_fields(const std::string& html, const std::string& typed)
    {
        return {{"form_token", input(html, "form_token"), "", ""},
                {"base_version", input(html, "base_version"), "", ""},
                {"drains", typed, "", ""}};
    }

    static items with_operation(items fields, const std::string& html)
    {
        fields.push_back({"operation_id", input(html, "operation_id"), "", ""});
        return fields;
    }

    std::vector<upstream_id> drains()
    {
        return m_backend.document()->document.drains;
    }

    httplib::Headers m_session;
};

TEST_F(forms, without_a_session_there_is_only_the_sign_in)
{
    for (const char* path : {"/", "/services", "/history", "/forms/drains"})
    {
        const auto answer = m_client->Get(path);
        EXPECT_EQ(answer->status, 303) << path;
        EXPECT_EQ(answer->get_header_value("Location"), "/sign-in");
    }
    EXPECT_EQ(m_client->Get("/sign-in")->status, 200);
    EXPECT_EQ(m_client->Post("/sign-in", items{{"token", "x", "", ""}})->status,
              401);
    auto forged = m_session.begin()->second;
    forged.back() = forged.back() == '0' ? '1' : '0';
    EXPECT_EQ(m_client->Get("/", {{"Cookie", forged}})->status, 303);
}

TEST_F(forms, a_change_is_previewed_and_then_applied)
{
    const auto form = page("/forms/drains");
    const auto fields = drain_fields(form, "u2\r\nu3");
    const auto preview = send("/forms/drains/preview", fields);
    ASSERT_EQ(preview->status, 200);
    EXPECT_NE(preview->body.find("/drains/u3"), std::string::npos);
    EXPECT_EQ(m_backend.effects(), 0U);
    const auto applied =
        send("/forms/drains/apply", with_operation(fields, preview->body));
    EXPECT_EQ(applied->status, 200);
    EXPECT_NE(applied->body.find("Applied as version 2"), std::string::npos);
    EXPECT_EQ(drains(),
              (std::vector<upstream_id>{upstream_id("u2"), upstream_id("u3")}));
    EXPECT_NE(page("/history").find("maria"), std::string::npos);
}

TEST_F(forms, a_resend_has_one_effect_and_the_first_answer)
{
    const auto fields = drain_fields(page("/forms/drains"), "u3");
    const auto preview = send("/forms/drains/preview", fields);
    const auto step = with_operation(fields, preview->body);
    m_backend.lose_answers(1);
    const auto lost = send("/forms/drains/apply", step);
    EXPECT_EQ(lost->status, 503);
    EXPECT_EQ(input(lost->body, "operation_id"),
              input(preview->body, "operation_id"));
    for (int resend = 0; resend < 2; ++resend)
    {
        const auto again = send("/forms/drains/apply", step);
        EXPECT_EQ(again->status, 200);
        EXPECT_NE(again->body.find("version 2"), std::string::npos);
    }
    EXPECT_EQ(m_backend.effects(), 1U);
}

TEST_F(forms, the_loser_keeps_what_was_typed_and_sees_the_change)
{
    const auto fields = drain_fields(page("/forms/drains"), "u2 u3");
    const auto preview = send("/forms/drains/preview", fields);
    post("/v1/drain", {{"upstream", "u7"}, {"operation_id", "other"}});
    const auto lost =
        send("/forms/drains/apply", with_operation(fields, preview->body));
    EXPECT_EQ(lost->status, 409);
    EXPECT_NE(lost->body.find("/drains/u7"), std::string::npos);
    EXPECT_NE(lost->body.find("u2 u3</textarea>"), std::string::npos);
    EXPECT_EQ(input(lost->body, "base_version"), "2");
    EXPECT_EQ(m_backend.effects(), 1U);
    // Also a preview of an outdated form tells at once.
    EXPECT_EQ(send("/forms/drains/preview", fields)->status, 409);
    // And what was kept can be sent on.
    const auto retry = drain_fields(lost->body, "u2 u3 u7");
    const auto second = send("/forms/drains/preview", retry);
    EXPECT_EQ(send("/forms/drains/apply", with_operation(retry, second->body))
                  ->status,
              200);
    EXPECT_EQ(drains().size(), 3U);
}

TEST_F(forms, a_form_without_the_sessions_token_is_refused)
{
    auto fields = drain_fields(page("/forms/drains"), "u3");
    for (const char* forged : {"", "00"})
    {
        fields[0].content = forged;
        for (const char* step : {"preview", "edit", "apply"})
        {
            EXPECT_EQ(
                send(std::string("/forms/drains/") + step, fields)->status,
                403);
        }
    }
    EXPECT_NE(metrics_text().find("refused_forged_form_total 6\n"),
              std::string::npos);
}

TEST_F(forms, what_was_typed_is_escaped_and_kept_with_its_errors)
{
    const auto html = page("/forms/drains");
    const auto answer =
        send("/forms/drains/preview",
             drain_fields(html, "</textarea><script>alert('\"x&')</script>"));
    EXPECT_EQ(answer->status, 422);
    EXPECT_EQ(answer->body.find("<script"), std::string::npos);
    EXPECT_NE(answer->body.find("&lt;script&gt;alert(&#39;&quot;x&amp;"),
              std::string::npos);
    EXPECT_NE(answer->body.find("/drains/0"), std::string::npos);
}

TEST_F(forms, limits_sharing_and_kinds_of_a_service)
{
    const auto html = page("/forms/sharing?id=1");
    EXPECT_EQ(input(html, "kind_name_1"), "reserve");
    items fields = drain_fields(html, "");
    for (const auto& [name, value] :
         std::map<std::string, std::string>{{"id", "1"},
                                            {"slots", "6"},
                                            {"connections", "100"},
                                            {"goal", "continuity"},
                                            {"candidates", "2"},
                                            {"cold_start_s", "0.5"},
                                            {"silent_after_s", "0"},
                                            {"kind_name_0", "hold"},
                                            {"kind_weight_0", "3"},
                                            {"kind_idempotent_0", "yes"},
                                            {"kind_name_1", ""}})
    {
        fields.push_back({name, value, "", ""});
    }
    const auto preview = send("/forms/sharing/preview", fields);
    ASSERT_EQ(preview->status, 200) << preview->body;
    ASSERT_EQ(
        send("/forms/sharing/apply", with_operation(fields, preview->body))
            ->status,
        200);
    const auto declared = m_backend.document()->document.services[0];
    EXPECT_EQ(declared.limits, (target_limits{6, 100}));
    EXPECT_EQ(declared.sharing.goal, service_goal::continuity);
    EXPECT_EQ(declared.sharing.cold_start, std::chrono::milliseconds(500));
    EXPECT_EQ(declared.kinds, (std::vector<request_kind>{{"hold", 3, true}}));
}

TEST_F(forms, a_service_is_added_and_removed)
{
    items fields = drain_fields(page("/forms/service"), "");
    for (const auto& [name, value] : std::map<std::string, std::string>{
             {"new", "yes"},
             {"id", "7"},
             {"name", "media"},
             {"protocol", "tcp"},
             {"addresses", "127.0.0.1:7300\r\n127.0.0.2:7300"}})
    {
        fields.push_back({name, value, "", ""});
    }
    auto preview = send("/forms/service/preview", fields);
    send("/forms/service/apply", with_operation(fields, preview->body));
    ASSERT_EQ(m_backend.document()->document.services.size(), 3U);
    EXPECT_NE(page("/services").find("127.0.0.2:7300"), std::string::npos);

    items leaving = drain_fields(page("/forms/service?id=7"), "");
    leaving.push_back({"id", "7", "", ""});
    leaving.push_back({"remove", "yes", "", ""});
    preview = send("/forms/service/preview", leaving);
    send("/forms/service/apply", with_operation(leaving, preview->body));
    EXPECT_EQ(m_backend.document()->document.services.size(), 2U);
    EXPECT_EQ(m_client->Get("/forms/service?id=7", m_session)->status, 404);
}

TEST_F(forms, places_and_the_whole_document)
{
    items fields = drain_fields(page("/forms/places"), "");
    fields.push_back({"region_0", "NCR", "", ""});
    fields.push_back({"places_0", "quezon, pasig", "", ""});
    auto preview = send("/forms/places/preview", fields);
    send("/forms/places/apply", with_operation(fields, preview->body));
    EXPECT_EQ(m_backend.document()->document.places.size(), 2U);

    items whole = drain_fields(page("/forms/document"), "");
    whole.push_back({"document", R"({"regions":[],"services":[]})", "", ""});
    preview = send("/forms/document/preview", whole);
    EXPECT_NE(preview->body.find("/services/2"), std::string::npos);
    send("/forms/document/apply", with_operation(whole, preview->body));
    EXPECT_TRUE(m_backend.document()->document.services.empty());
}

TEST_F(forms, back_to_the_form_keeps_what_was_typed)
{
    const auto fields = drain_fields(page("/forms/drains"), "u8 u9");
    const auto again = send("/forms/drains/edit", fields);
    EXPECT_NE(again->body.find("u8 u9</textarea>"), std::string::npos);
    EXPECT_EQ(m_client->Get("/forms/other", m_session)->status, 404);
}

} // namespace
} // namespace crowlink
