#include "console_fixture.hpp"
#include "crowlink/client.hpp"
#include "dropping_relay.hpp"

#include <fmt/format.h>
#include <fstream>
#include <sstream>

namespace crowlink
{
namespace
{

using nlohmann::json;

class client_commands : public console_fixture
{
protected:
    void SetUp() override
    {
        console_fixture::SetUp();
        m_url = fmt::format("http://127.0.0.1:{}", m_port);
        m_token_file = m_files.write("token", std::string("crow_cli") + "\n");
        m_settings.tokens =
            m_files.write("tokens2", tokens_text("pedro", "crow_cli"));
        m_server = std::make_unique<console>(m_settings, m_backend);
        m_port = m_server->start().value().port;
        m_url = fmt::format("http://127.0.0.1:{}", m_port);
        m_document =
            m_files.write("document.json", fake_backend::first_document);
    }

    // Runs a subcommand against the console.
    exit_code run(std::vector<std::string> arguments,
                  const std::vector<std::string>& servers)
    {
        for (const auto& each : servers)
        {
            arguments.insert(arguments.end(), {"--server", each});
        }
        arguments.insert(arguments.end(), {"--token-file", m_token_file});
        return run_bare(arguments);
    }

    exit_code run(const std::vector<std::string>& arguments)
    {
        return run(arguments, {m_url});
    }

    exit_code run_bare(const std::vector<std::string>& arguments)
    {
        m_out.str("");
        m_err.str("");
        command_output output{m_out, m_err};
        return run_client(arguments, output);
    }

    // A file with the first document and other drains.
    std::string file_with_drains(const std::string& name, const json& drains)
    {
        auto value = json::parse(fake_backend::first_document);
        value["drains"] = drains;
        return m_files.write(name, value.dump());
    }

    std::string m_url;
    std::string m_token_file;
    std::string m_document;
    std::ostringstream m_out;
    std::ostringstream m_err;
};

TEST_F(client_commands, usage_errors_and_help)
{
    EXPECT_EQ(run_bare({}), exit_code::usage);
    EXPECT_EQ(run_bare({"nonsense"}), exit_code::usage);
    EXPECT_EQ(run_bare({"apply"}), exit_code::usage);
    EXPECT_EQ(run_bare({"status", "--output", "xml"}), exit_code::usage);
    EXPECT_EQ(run({"members", "add", "c2"}), exit_code::usage);
    EXPECT_EQ(run_bare({"--help"}), exit_code::ok);
    EXPECT_NE(m_out.str().find("undrain"), std::string::npos);
    for (const char* name :
         {"apply", "check", "diff", "drain", "evacuate", "explain", "get",
          "history", "members", "status", "timeline", "token", "undrain"})
    {
        EXPECT_EQ(run_bare({name, "--help"}), exit_code::ok) << name;
        EXPECT_NE(m_out.str().find("Usage"), std::string::npos) << name;
    }
}

TEST_F(client_commands, plan_prints_hosts_and_the_first_limit)
{
    const std::string sizes =
        CROWLINK_SOURCE_DIR "/packages/plan/examples/foundation_today.jsonc";
    EXPECT_EQ(run_bare({"plan", sizes}), exit_code::ok);
    EXPECT_NE(m_out.str().find("binds first"), std::string::npos);
    EXPECT_EQ(run_bare({"plan", m_document}), exit_code::invalid);
    EXPECT_EQ(run_bare({"plan", "/nowhere"}), exit_code::failed);
}

TEST_F(client_commands, timeline_shows_phases_and_writes_a_plot)
{
    std::string text = "a line of something else\n";
    for (const char* time : {"1.0", "2.5"})
    {
        for (const char* name : {"a", "b", "c"})
        {
            text +=
                fmt::format("{} {} event=started control=true\n", time, name);
        }
    }
    const std::string log = m_files.write("log", text);
    const std::string plot = m_files.write("plot.svg", "");
    EXPECT_EQ(run_bare({"timeline", "--plot", plot, log}), exit_code::ok);
    EXPECT_NE(m_out.str().find("3 processes away from 1.00 s on"),
              std::string::npos);
    EXPECT_NE(m_err.str().find("7 lines, 1 of them unreadable"),
              std::string::npos);
    std::ifstream written(plot);
    std::string first_line;
    std::getline(written, first_line);
    EXPECT_EQ(first_line.substr(0, 4), "<svg");

    EXPECT_EQ(run_bare({"timeline", "--least", "4", log}), exit_code::ok);
    EXPECT_EQ(m_out.str(), "");
    const std::string other = m_files.write("other", "nothing of it\n");
    EXPECT_EQ(run_bare({"timeline", other}), exit_code::invalid);
    EXPECT_EQ(run_bare({"timeline", "/nowhere"}), exit_code::failed);
    EXPECT_EQ(run_bare({"timeline", "--plot", "/nowhere/plot", log}),
              exit_code::failed);
    EXPECT_EQ(run_bare({"timeline"}), exit_code::usage);
    EXPECT_EQ(m_err.str().substr(0, 18), "crowlink timeline:");
}

TEST_F(client_commands, check_needs_no_server)
{
    EXPECT_EQ(run_bare({"check", m_document}), exit_code::ok);
    const auto faulty = m_files.write("faulty", R"({"regions":[],"x":1})");
    EXPECT_EQ(run_bare({"check", faulty}), exit_code::invalid);
    EXPECT_NE(m_err.str().find("/services: found nothing"), std::string::npos);
    EXPECT_NE(m_err.str().find("/x: found 1"), std::string::npos);
    EXPECT_EQ(run_bare({"check", "/nowhere"}), exit_code::failed);
}

TEST_F(client_commands, get_edit_apply)
{
    ASSERT_EQ(run({"get"}), exit_code::ok);
    auto text = m_out.str();
    EXPECT_EQ(text.rfind("// crowlink version 1\n{", 0), 0U) << text;
    text.replace(text.find("\"u2\""), 4, "\"u3\"");
    const auto edited = m_files.write("edited", text);
    EXPECT_EQ(run({"diff", edited}), exit_code::ok);
    EXPECT_EQ(m_out.str(), "- /drains/u2: \"u2\"\n+ /drains/u3: \"u3\"\n");
    EXPECT_EQ(run({"apply", edited}), exit_code::ok) << m_err.str();
    EXPECT_EQ(m_out.str(), "version 2\n");
    EXPECT_EQ(m_backend.document()->document.drains,
              std::vector<upstream_id>{upstream_id("u3")});
    EXPECT_EQ(run({"get", "--version", "1"}), exit_code::ok);
    EXPECT_NE(m_out.str().find("\"u2\""), std::string::npos);
    EXPECT_EQ(run({"get", "--version", "9"}), exit_code::not_found);
}

TEST_F(client_commands, of_two_operators_the_slower_one_loses)
{
    ASSERT_EQ(run({"get"}), exit_code::ok);
    const auto mine = m_files.write("mine", m_out.str());
    ASSERT_EQ(run({"drain", "u9"}), exit_code::ok);
    EXPECT_EQ(run({"apply", mine}), exit_code::conflict);
    EXPECT_NE(m_err.str().find("+ /drains/u9"), std::string::npos)
        << m_err.str();
    EXPECT_EQ(run({"apply", mine, "--output", "json"}), exit_code::conflict);
    EXPECT_EQ(json::parse(m_out.str())["version"], 2);
    EXPECT_EQ(m_backend.effects(), 1U);
    // Without a version of its own a document is made from the current one.
    EXPECT_EQ(run({"apply", m_document}), exit_code::ok);
    EXPECT_EQ(run({"apply", m_document, "--base", "1"}), exit_code::conflict);
}

TEST_F(client_commands, a_lost_answer_has_exactly_one_effect)
{
    dropping_relay relay(m_port, "crow_cli");
    const auto lossy = fmt::format("http://127.0.0.1:{}", relay.port());
    const auto file = file_with_drains("new", {"u5"});
    const auto code = run({"apply", file, "--base", "1"}, {lossy, m_url});
    EXPECT_EQ(code, exit_code::ok) << m_err.str();
    EXPECT_EQ(m_out.str(), "version 2\n");
    EXPECT_EQ(relay.dropped(), 1);
    EXPECT_EQ(m_backend.effects(), 1U);
    EXPECT_EQ(run({"drain", "u6"}, {lossy, m_url}), exit_code::ok);
    EXPECT_EQ(relay.dropped(), 2);
    EXPECT_EQ(m_backend.effects(), 2U);
}

TEST_F(client_commands, a_change_can_be_sent_again_by_hand)
{
    dropping_relay relay(m_port, "crow_cli");
    const auto lossy = fmt::format("http://127.0.0.1:{}", relay.port());
    const auto file = file_with_drains("new", {"u5"});
    EXPECT_EQ(run({"apply", file, "--base", "1", "--timeout", "0.2"}, {lossy}),
              exit_code::unavailable);
    const auto told = m_err.str();
    const auto at = told.find("--operation ");
    ASSERT_NE(at, std::string::npos) << told;
    const auto id = told.substr(at + 12, 32);
    EXPECT_NE(told.find(" --base 1\n"), std::string::npos) << told;
    EXPECT_EQ(run({"apply", file, "--base", "1", "--operation", id}),
              exit_code::ok);
    EXPECT_EQ(m_out.str(), "version 2\n");
    EXPECT_GE(relay.dropped(), 1);
    EXPECT_EQ(m_backend.effects(), 1U);
}

TEST_F(client_commands, a_server_without_a_quorum_is_waited_for)
{
    m_backend.lose_quorum(true);
    EXPECT_EQ(run({"drain", "u5", "--timeout", "0.2"}), exit_code::unavailable);
    EXPECT_NE(m_err.str().find("no quorum"), std::string::npos);
    EXPECT_EQ(m_backend.effects(), 0U);
    // A port that nobody listens on: bound, and closed again.
    EXPECT_EQ(run({"status", "--timeout", "0.2"}, {"http://127.0.0.1:1"}),
              exit_code::unavailable);
    EXPECT_EQ(run({"status"}, {"http://127.0.0.1:1", m_url}), exit_code::ok);
}

TEST_F(client_commands, an_unknown_token_is_forbidden)
{
    m_token_file = m_files.write("other", "x");
    EXPECT_EQ(run({"status"}), exit_code::forbidden);
    EXPECT_EQ(run({"apply", m_document}), exit_code::forbidden);
    EXPECT_EQ(run_bare({"status", "--server", m_url}), exit_code::forbidden);
    m_token_file = "/nowhere";
    EXPECT_EQ(run({"status"}), exit_code::failed);
}

TEST_F(client_commands, drain_and_undrain)
{
    EXPECT_EQ(run({"drain", "u5"}), exit_code::ok);
    EXPECT_EQ(m_backend.document()->document.drains.size(), 2U);
    EXPECT_EQ(run({"undrain", "u5"}), exit_code::ok);
    EXPECT_EQ(m_backend.document()->document.drains.size(), 1U);
    EXPECT_EQ(run({"drain", "<u>"}), exit_code::invalid);
    EXPECT_EQ(run({"history"}), exit_code::ok);
    EXPECT_NE(m_out.str().find("pedro"), std::string::npos) << m_out.str();
    EXPECT_NE(m_out.str().find("1970-01-01 00:16:40"), std::string::npos);
}

TEST_F(client_commands, status_and_explain)
{
    EXPECT_EQ(run({"status"}), exit_code::ok);
    EXPECT_NE(m_out.str().find("leader   c1"), std::string::npos)
        << m_out.str();
    EXPECT_NE(m_out.str().find("draining"), std::string::npos);
    EXPECT_EQ(run({"status", "-o", "json"}), exit_code::ok);
    EXPECT_EQ(json::parse(m_out.str())["quorum"], true);
    EXPECT_EQ(run({"explain", "udp 192.0.2.7:4711 > 127.0.0.1:7100"}),
              exit_code::ok);
    EXPECT_NE(m_out.str().find("chain     u1, u2"), std::string::npos);
    EXPECT_EQ(run({"explain", "udp", "192.0.2.7:4711", "127.0.0.1:7100"}),
              exit_code::ok);
    EXPECT_EQ(run({"explain", "udp", "192.0.2.7:4711", "127.0.0.1:1"}),
              exit_code::not_found);
    EXPECT_EQ(run({"explain", "x"}), exit_code::invalid);
}

TEST_F(client_commands, evacuate)
{
    EXPECT_EQ(run({"evacuate"}), exit_code::ok);
    EXPECT_NE(m_out.str().find("no data centre"), std::string::npos);
    EXPECT_EQ(run({"evacuate", "start", "pasig"}), exit_code::ok);
    EXPECT_EQ(run({"evacuate", "list"}), exit_code::ok);
    EXPECT_NE(m_out.str().find("pasig"), std::string::npos) << m_out.str();
    EXPECT_NE(m_out.str().find("1970-01-01 00:16:40"), std::string::npos);
    EXPECT_EQ(run({"evacuate", "start", "atlantis"}), exit_code::not_found);
    EXPECT_EQ(run({"evacuate", "stop"}), exit_code::usage);
    EXPECT_EQ(run({"evacuate", "stop", "pasig"}), exit_code::ok);
    EXPECT_NE(m_out.str().find("no data centre"), std::string::npos);
}

TEST_F(client_commands, members)
{
    EXPECT_EQ(run({"members"}), exit_code::ok);
    EXPECT_NE(m_out.str().find("voter     reachable, leader"),
              std::string::npos)
        << m_out.str();
    EXPECT_EQ(run({"members", "add", "c2", "10.0.0.2:7000"}), exit_code::ok);
    EXPECT_EQ(run({"members", "replace", "c2", "c3", "10.0.0.3:7000"}),
              exit_code::ok);
    EXPECT_NE(m_out.str().find("c3"), std::string::npos);
    EXPECT_EQ(run({"members", "remove", "c3"}), exit_code::ok);
    EXPECT_EQ(m_out.str().find("c3"), std::string::npos);
    EXPECT_EQ(run({"members", "add", "c2", "nowhere"}), exit_code::invalid);
}

TEST_F(client_commands, a_token_is_minted_with_its_entry)
{
    EXPECT_EQ(run_bare({"token", "ana"}), exit_code::ok);
    const auto text = m_out.str();
    const auto token_text =
        text.substr(text.find("crow_"), text.find('\n') - text.find("crow_"));
    const auto entry = json::parse(text.substr(text.find('{')));
    EXPECT_EQ(entry["name"], "ana");
    EXPECT_EQ(entry["token_hash"], hash_token(token_text));
}

} // namespace
} // namespace crowlink
