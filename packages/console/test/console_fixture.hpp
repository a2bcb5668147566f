#pragma once

#include "crowlink/console.hpp"
#include "fake_backend.hpp"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <string>

namespace crowlink
{

// A new folder for one test, removed with it.
class scratch_folder
{
public:
    scratch_folder()
    {
        std::string name =
            std::filesystem::temp_directory_path() / "crowlink_console_XXXXXX";
        m_path = mkdtemp(name.data());
    }
    scratch_folder(const scratch_folder&) = delete;
    scratch_folder& operator=(const scratch_folder&) = delete;
    ~scratch_folder() { std::filesystem::remove_all(m_path); }

    // Writes a file that only its owner may touch.
    std::filesystem::path write(const std::string& name,
                                const std::string& text) const
    {
        auto file = m_path / name;
        std::ofstream(file) << text;
        std::filesystem::permissions(file,
                                     std::filesystem::perms::owner_read |
                                         std::filesystem::perms::owner_write);
        return file;
    }

private:
    std::filesystem::path m_path;
};

// A tokens file with one operator.
inline std::string tokens_text(const std::string& name,
                               const std::string& token)
{
    return R"({"operators": [{"name": ")" + name + R"(", "token_hash": ")" +
           hash_token(token) + R"("}]})";
}

// A console on a free port of loopback, over a fake system, and a client.
class console_fixture : public ::testing::Test
{
protected:
    static constexpr const char* token = "a token of maria";

    void SetUp() override
    {
        m_settings.listen = endpoint::parse("127.0.0.1:0").value();
        m_settings.tokens =
            m_files.write("tokens", tokens_text("maria", token));
        m_settings.max_body_bytes = 64U << 10U;
        m_server = std::make_unique<console>(m_settings, m_backend);
        const auto where = m_server->start();
        ASSERT_TRUE(where) << to_string(where.error());
        m_port = where->port;
        m_client = std::make_unique<httplib::Client>("127.0.0.1", m_port);
    }

    httplib::Headers bearer() const
    {
        return {{"Authorization", std::string("Bearer ") + token}};
    }

    httplib::Result get(const std::string& path)
    {
        return m_client->Get(path, bearer());
    }

    httplib::Result post(const std::string& path, const nlohmann::json& body)
    {
        return m_client->Post(path, bearer(), body.dump(), "application/json");
    }

    static nlohmann::json body_of(const httplib::Result& answer)
    {
        return nlohmann::json::parse(answer->body);
    }

    // The current document with one field of the first service changed.
    nlohmann::json changed_document(int candidates)
    {
        auto document = body_of(get("/v1/document"))["document"];
        document["services"][0]["candidates"] = candidates;
        return document;
    }

    std::string metrics_text() { return m_client->Get("/metrics")->body; }

    scratch_folder m_files;
    console_settings m_settings;
    fake_backend m_backend;
    std::uint16_t m_port = 0;
    std::unique_ptr<console> m_server;
    std::unique_ptr<httplib::Client> m_client;
};

} // namespace crowlink
