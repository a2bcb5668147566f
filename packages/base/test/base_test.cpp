#include "crowlink/base.hpp"

#include <gtest/gtest.h>

namespace crowlink
{
namespace
{

TEST(endpoint, reads_and_writes_both_families)
{
    for (const char* text : {"127.0.0.1:80", "[2001:db8::1]:65535"})
    {
        const auto parsed = endpoint::parse(text);
        ASSERT_TRUE(parsed);
        EXPECT_EQ(parsed->to_string(), text);
    }
}

TEST(endpoint, refuses_what_is_not_an_endpoint)
{
    for (const char* text : {"", "localhost:80", "1.2.3.4", "1.2.3.4:65536",
                             "1.2.3.4:", "2001:db8::1:80", "1.2.3.4:8x"})
    {
        EXPECT_FALSE(endpoint::parse(text)) << text;
    }
}

TEST(flow_key, hash_depends_on_every_part)
{
    const flow_key key{*endpoint::parse("10.0.0.1:1"),
                       *endpoint::parse("10.0.0.2:2"), transport::udp};
    flow_key other = key;
    other.protocol = transport::tcp;
    EXPECT_NE(stable_hash(key), stable_hash(other));
    other = key;
    other.caller.port = 7;
    EXPECT_NE(stable_hash(key), stable_hash(other));
    EXPECT_EQ(stable_hash(key), stable_hash(flow_key(key)));
}

TEST(log_line, quotes_only_where_needed)
{
    const auto line = log_line(log_level::info, "route")
                          .field("flow", "a b")
                          .field("epoch", 7);
    EXPECT_EQ(line.render(log_format::key_value),
              "level=info event=route flow=\"a b\" epoch=7");
    EXPECT_EQ(line.render(log_format::json),
              R"({"level":"info","event":"route","flow":"a b","epoch":"7"})");
}

TEST(log_sink, says_how_many_lines_it_dropped)
{
    std::FILE* file = std::tmpfile();
    ASSERT_NE(file, nullptr);
    {
        log_sink sink(file, log_format::key_value, log_level::info, 0);
        sink.write(log_line(log_level::info, "lost"));
        sink.write(log_line(log_level::debug, "below the level"));
        EXPECT_EQ(sink.dropped(), 1U);
    }
    std::rewind(file);
    char text[128] = {};
    ASSERT_NE(std::fgets(text, sizeof text, file), nullptr);
    EXPECT_STREQ(text, "level=warning event=log_dropped lines=1\n");
    std::fclose(file);
}

TEST(metrics, renders_prometheus_text)
{
    metrics values;
    values.count("crowlink_packets_total", 3);
    values.observe("crowlink_build_seconds", 2.0);
    values.observe("crowlink_build_seconds", 4.0);
    EXPECT_EQ(values.counter("crowlink_packets_total"), 3U);
    const std::string text = values.render();
    EXPECT_NE(text.find("crowlink_packets_total 3\n"), std::string::npos);
    EXPECT_NE(text.find("crowlink_build_seconds_sum 6\n"), std::string::npos);
    EXPECT_NE(text.find("crowlink_build_seconds_max 4\n"), std::string::npos);
}

TEST(metrics, names_a_family_once_and_adds_up)
{
    metrics values;
    values.count("crowlink_drops_total{reason=\"a\"}", 1);
    metrics others;
    others.count("crowlink_drops_total{reason=\"a\"}", 2);
    others.count("crowlink_drops_total{reason=\"b\"}", 4);
    values.add(others);
    EXPECT_EQ(values.render(), "# TYPE crowlink_drops_total counter\n"
                               "crowlink_drops_total{reason=\"a\"} 3\n"
                               "crowlink_drops_total{reason=\"b\"} 4\n");
}

TEST(verdict, a_whole_is_no_more_certain_than_its_parts)
{
    EXPECT_EQ(combine(verdict::not_run, verdict::not_run), verdict::not_run);
    EXPECT_EQ(combine(verdict::not_run, verdict::ran), verdict::may_have_run);
}

} // namespace
} // namespace crowlink
