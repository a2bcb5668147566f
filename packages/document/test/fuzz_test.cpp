#include "sample_documents.hpp"

#include <gtest/gtest.h>
#include <string_view>

namespace crowlink
{
namespace
{

constexpr std::string_view corpus[] = {
    full_document,
    R"({"regions":[],"services":[]})",
    R"({"regions":[{"name":"a","places":["b"]}],"services":[],"drains":[]})",
    "[[[[[[[[]]]]]]]]",
    "\"\\ud800\"",
    "1e999",
    "{\"a\":/*",
};

constexpr std::string_view tokens[] = {
    "{",  "}",    "[",      "]",      "\"", ":",     ",",        "//",
    "/*", "*/",   "null",   "true",   "-1", "1e999", "1.5",      "\\u",
    "\0", "\xff", "\"id\"", "\"~/\"", "{}", "[1]",   "99999999", "\"\"",
};

std::string mutate(std::string text, seeded_random& random)
{
    const auto edits = 1 + random() % 4;
    for (std::uint64_t edit = 0; edit < edits; ++edit)
    {
        const std::size_t position = random() % (text.size() + 1);
        const std::size_t length = random() % 12;
        switch (random() % 3)
        {
        case 0:
            text.erase(position, length);
            break;
        case 1:
            text.insert(position, tokens[random() % std::size(tokens)]);
            break;
        default:
            text.insert(position,
                        text.substr(random() % (text.size() + 1), length));
            break;
        }
    }
    return text;
}

// Every input yields without a crash either a document that is unchanged when
// written and read again, or a non-empty list of errors.
TEST(fuzz, any_text_yields_a_stable_document_or_errors)
{
    seeded_random random(3);
    std::size_t accepted = 0;
    constexpr int rounds = 4000;
    for (int round = 0; round < rounds; ++round)
    {
        const auto seed = corpus[random() % std::size(corpus)];
        const auto text = mutate(std::string(seed), random);
        const auto document = read_document(text);
        if (document)
        {
            ++accepted;
            ASSERT_EQ(read_document(write_document(*document)), document);
            continue;
        }
        ASSERT_FALSE(document.error().empty()) << text;
        ASSERT_NE(document.error().to_text().find("must be"),
                  std::string::npos);
        ASSERT_FALSE(document.error().to_json().empty());
    }
    // The mutations must reach both outcomes, or the test checks too little.
    EXPECT_GT(accepted, 20U);
    EXPECT_LT(accepted, 3000U);
}

TEST(fuzz, a_long_name_does_not_exhaust_the_stack)
{
    const std::string name(4U << 20U, 'a');
    EXPECT_FALSE(read_document(R"({"regions":[{"name":")" + name +
                               R"(","places":["b"]}],"services":[]})"));
}

} // namespace
} // namespace crowlink
