#include "sample_documents.hpp"

#include <fstream>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <sstream>

namespace crowlink
{
namespace
{

using nlohmann::json;

// A rule that is violated by replacing or adding the value at a path.
struct rule_violation
{
    const char* pointer;
    const char* value;
    const char* error_path;
    const char* rule_part;
};

const rule_violation rule_violations[] = {
    {"", "[]", "", "an object with regions"},
    {"/extra", "1", "/extra", "known fields are"},
    {"/regions", "1", "/regions", "at most 64 regions"},
    {"/regions", "[]", "/regions", "at least one region"},
    {"/regions/0", "1", "/regions/0", "an object with name and places"},
    {"/regions/0", R"({"places":["x"]})", "/regions/0/name", "a text of 1"},
    {"/regions/0/name", "\"a b\"", "/regions/0/name", "without spaces"},
    {"/regions/0/name", "\"\"", "/regions/0/name", "a text of 1"},
    {"/regions/0/name", "\"a\\u0000b\"", "/regions/0/name", "control"},
    {"/regions/0/places", "[]", "/regions/0/places", "1 to 64"},
    {"/regions/0/places/1", "\"quezon\"", "/regions/0/places/1",
     "unique over all places; also at /regions/0/places/0"},
    {"/regions/1", R"({"name":"NCR","places":["x"]})", "/regions/1/name",
     "unique over the regions"},
    {"/regions/1", R"({"name":"B","places":["pasig"]})", "/regions/1/places/0",
     "unique over all places"},
    {"/services", "{}", "/services", "at most 16384"},
    {"/services/0/id", "0", "/services/0/id", "from 1"},
    {"/services/0/id", "4294967296", "/services/0/id", "to 4294967295"},
    {"/services/0/id", "1.5", "/services/0/id", "a whole number"},
    {"/services/0/id", "18446744073709551615", "/services/0/id", "from 1"},
    {"/services/1/id", "1", "/services/1/id", "unique over the services"},
    {"/services/1/name", "\"hiraman\"", "/services/1/name",
     "unique over the services"},
    {"/services/0/name", "\"<b>\"", "/services/0/name", "without"},
    {"/services/0/protocol", "\"sctp\"", "/services/0/protocol", "udp"},
    {"/services/0/addresses", "{}", "/services/0/addresses", "at most 64"},
    {"/routes", "{}", "/routes", "at most 65536"},
    {"/routes", R"([{"name":"r","address":"198.18.0.1:443"}])",
     "/routes/0/shares", "1 to 16"},
    {"/routes", R"([{"name":"r","address":"198.18.0.1:443","shares":[]}])",
     "/routes/0/shares", "1 to 16"},
    {"/routes",
     R"([{"name":"r","address":"198.18.0.1:443","shares":[{"service":9}]}])",
     "/routes/0/shares/0/service", "the id of a declared service"},
    {"/routes",
     R"([{"name":"r","address":"198.18.0.1:0","shares":[{"service":1}]}])",
     "/routes/0/address", "other than 0"},
    {"/routes",
     R"([{"name":"r","address":"198.18.0.1:1","requests":"subscribe",
          "shares":[{"service":1}]}])",
     "/routes/0/requests", "\"upload\""},
    {"/routes",
     R"([{"name":"r","address":"198.18.0.1:1","timeout_s":0,
          "shares":[{"service":1}]}])",
     "/routes/0/timeout_s", "from 0.001"},
    {"/routes",
     R"([{"name":"r","address":"198.18.0.1:1",
          "shares":[{"service":1,"weight":0}]}])",
     "/routes/0/shares/0/weight", "from 1"},
    {"/routes",
     R"([{"name":"r","address":"198.18.0.1:1",
          "shares":[{"service":1},{"service":1}]}])",
     "/routes/0/shares/1/service", "unique over the shares of one route"},
    {"/routes",
     R"([{"name":"r","address":"198.18.0.1:1","shares":[{"service":1}]},
         {"name":"q","address":"198.18.0.1:1","shares":[{"service":1}]}])",
     "/routes/1/address", "unique over the routes"},
    {"/services/0/addresses/0", "7", "/services/0/addresses/0", "a text"},
    {"/services/0/addresses/0", "\"127.0.0.1\"", "/services/0/addresses/0",
     "an IP address and a port"},
    {"/services/0/addresses/0", "\"127.0.0.1:0\"", "/services/0/addresses/0",
     "other than 0"},
    {"/services/0/addresses/0", "\"0.0.0.0:80\"", "/services/0/addresses/0",
     "an IP address"},
    {"/services/0/addresses/1", "\"127.0.0.1:7100\"", "/services/0/addresses/1",
     "unique over the services of one protocol"},
    {"/services/1/protocol", "\"udp\"", "/services/1/addresses/0",
     "also at /services/0/addresses/0"},
    {"/services/0/goal", "\"speed\"", "/services/0/goal", "continuity"},
    {"/services/0/candidates", "0", "/services/0/candidates", "1 to 4"},
    {"/services/0/candidates", "5", "/services/0/candidates", "1 to 4"},
    {"/services/0/candidates", "\"3\"", "/services/0/candidates", "1 to 4"},
    {"/services/0/cold_start_s", "-1", "/services/0/cold_start_s", "0 to 3600"},
    {"/services/0/cold_start_s", "0.0001", "/services/0/cold_start_s",
     "milliseconds"},
    {"/services/0/silent_after_s", "86401", "/services/0/silent_after_s",
     "86400"},
    {"/services/0/silent_after_s", "1.00005", "/services/0/silent_after_s",
     "milliseconds"},
    {"/services/0/limits/slots", "0", "/services/0/limits/slots", "1 to 65535"},
    {"/services/0/limits/slots", "1001", "/services/0/limits/slots",
     "at most the connections (1000)"},
    {"/services/1/limits", R"({"slots":2001})", "/services/1/limits/slots",
     "at most the connections (2000)"},
    {"/services/0/limits/connections", "10000001",
     "/services/0/limits/connections", "10000000"},
    {"/services/0/limits/cpu", "1", "/services/0/limits/cpu", "known fields"},
    {"/services/0/kinds/1/name", "\"reserve\"", "/services/0/kinds/1/name",
     "unique over the kinds of one service"},
    {"/services/0/kinds/0/weight", "0", "/services/0/kinds/0/weight",
     "1 to 1000"},
    {"/services/0/kinds/0/weight", "1001", "/services/0/kinds/0/weight",
     "1 to 1000"},
    {"/services/0/kinds/0/idempotent", "1", "/services/0/kinds/0/idempotent",
     "true or false"},
    {"/services/0/kinds/1", R"({"name":"x"})", "/services/0/kinds/1/idempotent",
     "true or false"},
    {"/drains", "null", "/drains", "names of upstreams"},
    {"/drains/0", "{}", "/drains/0", "a text"},
    {"/drains/1", "\"u1\"", "/drains/1", "unique over the drains"},
};

std::string text_of(const document_errors& errors)
{
    return errors.to_text();
}

TEST(reader, reads_every_field)
{
    const auto document = read_document(full_document);
    ASSERT_TRUE(document) << text_of(document.error());
    ASSERT_EQ(document->places.size(), 3U);
    EXPECT_EQ(document->places[0].id, place_id("makati"));
    EXPECT_EQ(document->places[0].region, region_id("NCR"));
    const service& hiraman = document->services.at(0);
    EXPECT_EQ(hiraman.id, service_id(1));
    EXPECT_EQ(hiraman.protocol, transport::udp);
    EXPECT_EQ(hiraman.addresses.size(), 2U);
    EXPECT_EQ(hiraman.limits, (target_limits{8, 1000, 30}));
    EXPECT_EQ(hiraman.sharing.goal, service_goal::continuity);
    EXPECT_EQ(hiraman.sharing.candidates, 2U);
    EXPECT_EQ(hiraman.sharing.cold_start, std::chrono::milliseconds(250));
    EXPECT_EQ(hiraman.sharing.silent_after, std::chrono::seconds(60));
    EXPECT_EQ(hiraman.kinds, (std::vector<request_kind>{
                                 {"browse", 1, true}, {"reserve", 2, false}}));
    EXPECT_EQ(document->drains, std::vector<upstream_id>{upstream_id("u1")});
}

TEST(reader, reads_routes_and_derives_the_shares_of_services)
{
    const auto document = read_document(R"({
        "regions": [{"name": "r", "places": ["p"]}],
        "services": [
            {"id": 1, "name": "a", "protocol": "tcp", "addresses": []},
            {"id": 2, "name": "b", "protocol": "tcp", "addresses": []}],
        "routes": [
            {"name": "x", "address": "198.18.0.1:443",
             "requests": "non_idempotent", "timeout_s": 1.5, "aim_s": 0.15,
             "priority": 2,
             "shares": [{"service": 2, "weight": 10},
                        {"service": 1, "weight": 90}]}],
        "source": "as it came"})");
    ASSERT_TRUE(document) << text_of(document.error());
    const endpoint address = *endpoint::parse("198.18.0.1:443");
    const route expected{"x",
                         address,
                         {request_class::non_idempotent,
                          std::chrono::milliseconds(1500),
                          std::chrono::milliseconds(150), 2},
                         {{service_id(1), 90}, {service_id(2), 10}}};
    EXPECT_EQ(document->routes, std::vector<route>{expected});
    EXPECT_EQ(document->source, "as it came");
    const std::vector<service> shared = with_shares(*document);
    EXPECT_EQ(shared.at(0).shares,
              (std::vector<address_share>{{address, 90, expected.terms}}));
    EXPECT_EQ(shared.at(1).shares,
              (std::vector<address_share>{{address, 10, expected.terms}}));
    EXPECT_EQ(read_document(write_document(*document)), document);
}

TEST(reader, absent_fields_get_the_defaults_of_the_model)
{
    const auto document = read_document(full_document);
    ASSERT_TRUE(document);
    const service& plain = document->services.at(1);
    EXPECT_EQ(plain.limits, target_limits());
    EXPECT_EQ(plain.sharing, sharing_policy());
    EXPECT_TRUE(plain.kinds.empty());
}

TEST(reader, reports_each_violation_at_its_path)
{
    constexpr bool ignore_comments = true;
    const auto valid =
        json::parse(full_document, nullptr, true, ignore_comments);
    for (const auto& violation : rule_violations)
    {
        auto changed = valid;
        changed[json::json_pointer(violation.pointer)] =
            json::parse(violation.value);
        const auto answer = read_document(changed.dump());
        ASSERT_FALSE(answer) << violation.pointer << " = " << violation.value;
        const auto& items = answer.error().items();
        ASSERT_EQ(items.size(), 1U)
            << violation.pointer << " = " << violation.value << "\n"
            << text_of(answer.error());
        EXPECT_EQ(items[0].path, violation.error_path);
        EXPECT_NE(items[0].rule.find(violation.rule_part), std::string::npos)
            << text_of(answer.error());
        EXPECT_FALSE(items[0].found.empty());
    }
}

TEST(reader, reports_all_errors_sorted_by_path)
{
    constexpr bool ignore_comments = true;
    auto value = json::parse(full_document, nullptr, true, ignore_comments);
    value["services"][0]["candidates"] = 9;
    value["services"][1]["id"] = 1;
    value["services"][1].erase("name");
    value["services"][1]["colour"] = "red";
    value["drains"].push_back("u1");
    const auto answer = read_document(value.dump());
    ASSERT_FALSE(answer);
    std::vector<std::string> paths;
    for (const auto& item : answer.error().items())
    {
        paths.push_back(item.path);
    }
    EXPECT_EQ(paths,
              (std::vector<std::string>{"/drains/1", "/services/0/candidates",
                                        "/services/1/colour", "/services/1/id",
                                        "/services/1/name"}));
}

TEST(reader, formats_an_error_with_path_value_and_rule)
{
    const auto answer = read_document(R"({"regions":7,"services":[]})");
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().to_text(),
              "/regions: found 7, must be a list of at most 64 regions\n");
    EXPECT_EQ(answer.error().to_json(),
              R"({"errors":[{"found":"7","path":"/regions",)"
              R"("rule":"a list of at most 64 regions"}],"left_out":0})");
}

TEST(reader, bounds_the_number_of_errors_and_counts_the_rest)
{
    json value = {{"regions", json::array()}, {"services", json::array()}};
    value["drains"] = json::array();
    for (std::size_t at = 0; at < document_errors::capacity + 50; ++at)
    {
        value["drains"].push_back(at);
    }
    const auto answer = read_document(value.dump());
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().items().size(), document_errors::capacity);
    EXPECT_EQ(answer.error().left_out(), 50U);
}

TEST(reader, reports_the_line_of_a_syntax_error)
{
    const auto answer = read_document("{\n  \"regions\": [,]\n}");
    ASSERT_FALSE(answer);
    const auto text = answer.error().to_text();
    EXPECT_NE(text.find("line 2"), std::string::npos) << text;
}

TEST(reader, rejects_a_duplicate_field)
{
    const auto answer = read_document(
        R"({"regions":[],"services":[{"id":1,"na/me":2,"na/me":3}]})");
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().items()[0].path, "/services/0/na~1me");
    EXPECT_EQ(answer.error().items()[0].rule, "given once");
}

TEST(reader, rejects_deep_nesting_and_long_texts)
{
    EXPECT_FALSE(read_document(std::string(1U << 20U, '[')));
    const std::string spaces(max_document_bytes + 1, ' ');
    const auto answer = read_document(spaces);
    ASSERT_FALSE(answer);
    EXPECT_NE(answer.error().to_text().find("at most"), std::string::npos);
}

TEST(reader, embeds_the_schema_file)
{
    std::ifstream file(CROWLINK_SOURCE_DIR
                       "/packages/document/schema/document.schema.json");
    std::stringstream text;
    text << file.rdbuf();
    EXPECT_EQ(json::parse(document_schema()), json::parse(text.str()));
}

TEST(read_committed_document, reads_a_valid_document_like_read_document)
{
    EXPECT_EQ(read_committed_document(full_document),
              read_document(full_document));
}

TEST(read_committed_document, checks_the_cross_field_rules)
{
    auto value = json::parse(full_document, nullptr, true, true);
    value["services"][1]["id"] = 1;
    const auto read = read_committed_document(value.dump());
    ASSERT_FALSE(read);
    EXPECT_NE(read.error().to_text().find("/services/1/id"), std::string::npos);
}

// A value that only the schema rejects must yield an error and no exception if
// it cannot be read. It is accepted otherwise.
TEST(read_committed_document, reports_unreadable_documents_as_errors)
{
    auto value = json::parse(full_document, nullptr, true, true);
    value["services"][0]["name"] = 7;
    EXPECT_FALSE(read_committed_document(value.dump()));
    value = json::parse(full_document, nullptr, true, true);
    value["services"][0].erase("id");
    EXPECT_FALSE(read_committed_document(value.dump()));
    EXPECT_FALSE(read_committed_document("[]"));
    EXPECT_FALSE(read_committed_document("{"));
}

} // namespace
} // namespace crowlink
