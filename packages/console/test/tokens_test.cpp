#include "console_fixture.hpp"
#include "sessions.hpp"

namespace crowlink
{
namespace
{

TEST(operator_tokens, finds_the_operator_of_a_token)
{
    const auto tokens =
        operator_tokens::parse(tokens_text("maria", "secret"), "file");
    ASSERT_TRUE(tokens) << to_string(tokens.error());
    EXPECT_EQ(tokens->find("secret"), "maria");
    EXPECT_EQ(tokens->find("Secret"), std::nullopt);
    EXPECT_EQ(tokens->find(""), std::nullopt);
    EXPECT_EQ(operator_tokens().find("secret"), std::nullopt);
}

TEST(operator_tokens, a_minted_token_is_new_and_matches_its_hash)
{
    const auto first = mint_token();
    EXPECT_NE(first.token, mint_token().token);
    EXPECT_EQ(first.hash, hash_token(first.token));
    EXPECT_EQ(first.hash.find(first.token), std::string::npos);
}

TEST(operator_tokens, a_faulty_file_is_refused)
{
    const auto valid = tokens_text("maria", "secret");
    for (const std::string text :
         {R"({})", R"([])", R"({"operators":1})", R"({"operators":[1]})",
          R"({"operators":[{"name":"a","token_hash":"00"}]})",
          R"({"operators":[{"name":"a"}]})"})
    {
        EXPECT_FALSE(operator_tokens::parse(text, "file")) << text;
    }
    scratch_folder files;
    const auto file = files.write("tokens", valid);
    EXPECT_TRUE(operator_tokens::load(file));
    std::filesystem::permissions(file, std::filesystem::perms::others_write,
                                 std::filesystem::perm_options::add);
    const auto open = operator_tokens::load(file);
    ASSERT_FALSE(open);
    EXPECT_NE(open.error().message.find("writable"), std::string::npos);
    EXPECT_EQ(operator_tokens::load(files.write("gone", "")).error().kind,
              error_kind::invalid);
    EXPECT_EQ(operator_tokens::load("/nowhere/tokens").error().kind,
              error_kind::storage);
}

TEST(sessions, last_until_their_end_and_not_longer)
{
    const auto tokens =
        operator_tokens::parse(tokens_text("maria", "secret"), "file").value();
    const internal::sessions table(tokens, std::chrono::hours(1));
    const time_point start(std::chrono::hours(5));
    const auto session = table.open("maria", start);
    EXPECT_EQ(table.find(session, start), "maria");
    EXPECT_EQ(table.find(session, start + std::chrono::minutes(59)), "maria");
    EXPECT_EQ(table.find(session, start + std::chrono::hours(1)), std::nullopt);
}

TEST(sessions, forged_and_foreign_ones_are_refused)
{
    const auto tokens =
        operator_tokens::parse(tokens_text("maria", "secret"), "file").value();
    const internal::sessions table(tokens, std::chrono::hours(1));
    const internal::sessions other(tokens, std::chrono::hours(1));
    const auto session = table.open("maria", {});
    for (std::size_t at = 0; at < session.size(); ++at)
    {
        auto forged = session;
        forged[at] = forged[at] == '1' ? '2' : '1';
        EXPECT_EQ(table.find(forged, {}), std::nullopt) << at;
        EXPECT_EQ(table.find(session.substr(0, at), {}), std::nullopt);
    }
    EXPECT_EQ(table.find(other.open("maria", {}), {}), std::nullopt);
    // Somebody who was removed from the tokens file.
    EXPECT_EQ(table.find(table.open("pedro", {}), {}), std::nullopt);
    EXPECT_TRUE(table.is_form_token(session, table.form_token(session)));
    EXPECT_FALSE(table.is_form_token(session, other.form_token(session)));
    EXPECT_FALSE(table.is_form_token(session, session));
}

} // namespace
} // namespace crowlink
