#include "sample_documents.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <map>
#include <nlohmann/json.hpp>

namespace crowlink
{
namespace
{

using nlohmann::json;

// The reference implementation: a map from path to leaf value.
using leaves = std::map<std::string, std::string>;

void add_leaves(const json& value, const std::string& path, leaves& target)
{
    if (!value.is_object())
    {
        target[path] = value.dump();
        return;
    }
    // An empty container has no leaf; this entry records its presence.
    target[path] = "{}";
    for (const auto& [key, child] : value.items())
    {
        add_leaves(child, fmt::format("{}/{}", path, key), target);
    }
}

leaves leaves_of(const system_document& document)
{
    leaves all;
    for (const auto& item : document.places)
    {
        const auto region = "/regions/" + item.region.value();
        all[region] = "{}";
        all[region + "/places"] = "{}";
        all[region + "/places/" + item.id.value()] =
            json(item.id.value()).dump();
    }
    json value = json::parse(write_document(document));
    for (const auto& declared : value["services"])
    {
        const auto path = "/services/" + declared["id"].dump();
        json fields = declared;
        fields.erase("id");
        fields["addresses"] = json::object();
        fields["kinds"] = json::object();
        for (const auto& address : declared["addresses"])
        {
            fields["addresses"][address.get<std::string>()] = address;
        }
        for (auto kind : declared["kinds"])
        {
            const auto name = kind["name"].get<std::string>();
            kind.erase("name");
            fields["kinds"][name] = kind;
        }
        add_leaves(fields, path, all);
    }
    for (const auto& drain : document.drains)
    {
        all["/drains/" + drain.value()] = json(drain.value()).dump();
    }
    return all;
}

// Applies a difference to the reference representation.
void apply(const document_difference& difference, leaves& target)
{
    for (const auto& change : difference.changes())
    {
        const auto below = change.path + "/";
        for (auto entry = target.begin(); entry != target.end();)
        {
            const bool is_replaced =
                entry->first == change.path ||
                entry->first.compare(0, below.size(), below) == 0;
            entry = is_replaced ? target.erase(entry) : std::next(entry);
        }
        if (!change.after.empty())
        {
            add_leaves(json::parse(change.after), change.path, target);
        }
    }
}

TEST(difference, is_empty_for_equal_documents)
{
    const auto document = read_document(full_document);
    ASSERT_TRUE(document);
    EXPECT_TRUE(compare(*document, *document).empty());
    EXPECT_EQ(compare(*document, *document).to_text(), "");
    EXPECT_EQ(compare(*document, *document).to_json(), "[]");
}

TEST(difference, identifies_list_elements_by_key)
{
    const auto before = read_document(full_document);
    ASSERT_TRUE(before);
    auto after = *before;
    after.services[0].limits.slots = 9;
    after.services[0].kinds.pop_back();
    after.drains = {upstream_id("u2")};
    const auto difference = compare(*before, after);
    EXPECT_EQ(difference.to_text(), "- /drains/u1: \"u1\"\n"
                                    "+ /drains/u2: \"u2\"\n"
                                    "- /services/1/kinds/reserve: "
                                    "{\"idempotent\":false,\"weight\":2}\n"
                                    "~ /services/1/limits/slots: 8 -> 9\n");
    const auto list = json::parse(difference.to_json());
    ASSERT_EQ(list.size(), 4U);
    EXPECT_EQ(
        list[0],
        (json{{"path", "/drains/u1"}, {"before", "u1"}, {"after", nullptr}}));
    EXPECT_EQ(list[3]["after"], 9);
}

TEST(difference, applied_to_one_document_yields_the_other)
{
    seeded_random random(2);
    for (int round = 0; round < 300; ++round)
    {
        const auto before = random_document(random);
        const auto after = random_document(random);
        const auto difference = compare(before, after);
        auto target = leaves_of(before);
        apply(difference, target);
        ASSERT_EQ(target, leaves_of(after)) << difference.to_text();
        EXPECT_EQ(difference.empty(), before == after);
    }
}

} // namespace
} // namespace crowlink
