#include "crowlink/document/document_difference.hpp"

#include "document_json.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace crowlink
{

namespace
{

using nlohmann::json;

json keyed_texts(const json& list)
{
    auto object = json::object();
    for (const auto& item : list)
    {
        object[item.get<std::string>()] = item;
    }
    return object;
}

// A list of objects as an object, by the field that identifies an element.
json keyed_objects(const json& list, const char* identity)
{
    auto object = json::object();
    for (auto item : list)
    {
        const json key = item.at(identity);
        item.erase(identity);
        object[key.is_string() ? key.get<std::string>() : key.dump()] = item;
    }
    return object;
}

// The document with each list turned into an object, so that a pointer names
// an element by its identity.
json keyed(const system_document& document)
{
    json value = internal::to_json(document);
    for (auto& region : value.at("regions"))
    {
        region["places"] = keyed_texts(region.at("places"));
    }
    for (auto& declared : value.at("services"))
    {
        declared["addresses"] = keyed_texts(declared.at("addresses"));
        declared["kinds"] = keyed_objects(declared.at("kinds"), "name");
    }
    value["regions"] = keyed_objects(value.at("regions"), "name");
    value["services"] = keyed_objects(value.at("services"), "id");
    for (auto& each : value.at("routes"))
    {
        each["shares"] = keyed_objects(each.at("shares"), "service");
    }
    value["routes"] = keyed_objects(value.at("routes"), "address");
    // The source says in other words what the rest says.
    value.erase("source");
    value["drains"] = keyed_texts(value.at("drains"));
    return value;
}

document_change to_change(const json& step, const json& before)
{
    const auto path = step.at("path").get<std::string>();
    document_change change{path, "", ""};
    if (step.at("op") != "add")
    {
        change.before = before.at(json::json_pointer(path)).dump();
    }
    if (step.at("op") != "remove")
    {
        change.after = step.at("value").dump();
    }
    return change;
}

using internal::ordered_json;

bool path_before(const document_change& first, const document_change& second)
{
    return first.path < second.path;
}

ordered_json value_or_null(const std::string& text)
{
    return text.empty() ? ordered_json() : ordered_json::parse(text);
}

std::string to_line(const document_change& change)
{
    if (change.before.empty())
    {
        return fmt::format("+ {}: {}\n", change.path, change.after);
    }
    if (change.after.empty())
    {
        return fmt::format("- {}: {}\n", change.path, change.before);
    }
    return fmt::format("~ {}: {} -> {}\n", change.path, change.before,
                       change.after);
}

} // namespace

document_difference::document_difference(std::vector<document_change> changes)
    : m_changes(std::move(changes))
{
    std::sort(m_changes.begin(), m_changes.end(), path_before);
}

std::string document_difference::to_text() const
{
    std::string text;
    for (const auto& change : m_changes)
    {
        text += to_line(change);
    }
    return text;
}

std::string document_difference::to_json() const
{
    auto list = ordered_json::array();
    for (const auto& change : m_changes)
    {
        list.push_back({{"path", change.path},
                        {"before", value_or_null(change.before)},
                        {"after", value_or_null(change.after)}});
    }
    return list.dump();
}

document_difference compare(const system_document& before,
                            const system_document& after)
{
    const json old_value = keyed(before);
    std::vector<document_change> changes;
    for (const auto& step : json::diff(old_value, keyed(after)))
    {
        changes.push_back(to_change(step, old_value));
    }
    return document_difference(std::move(changes));
}

} // namespace crowlink
