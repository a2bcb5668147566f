#include "crowlink/document/document_difference.hpp"

#include "document_json.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace crowlink
{

namespace
{

using nlohmann::json;

json strings_by_value(const json& list)
{
    auto object = json::object();
    for (const auto& item : list)
    {
        object[item.get<std::string>()] = item;
    }
    return object;
}

// Converts a list of objects to an object keyed by the identifying field.
json objects_by_key(const json& list, const char* key_field)
{
    auto object = json::object();
    for (auto item : list)
    {
        const json key = item.at(key_field);
        item.erase(key_field);
        object[key.is_string() ? key.get<std::string>() : key.dump()] = item;
    }
    return object;
}

// The document as JSON with each list converted to an object, so that a JSON
// pointer refers to an element by its key.
json to_keyed_json(const system_document& document)
{
    json value = internal::to_json(document);
    for (auto& region : value.at("regions"))
    {
        region["places"] = strings_by_value(region.at("places"));
    }
    for (auto& declared : value.at("services"))
    {
        declared["addresses"] = strings_by_value(declared.at("addresses"));
        declared["kinds"] = objects_by_key(declared.at("kinds"), "name");
    }
    value["regions"] = objects_by_key(value.at("regions"), "name");
    value["services"] = objects_by_key(value.at("services"), "id");
    for (auto& declared_route : value.at("routes"))
    {
        declared_route["shares"] =
            objects_by_key(declared_route.at("shares"), "service");
    }
    value["routes"] = objects_by_key(value.at("routes"), "address");
    // The source is another form of the same content.
    value.erase("source");
    value["drains"] = strings_by_value(value.at("drains"));
    return value;
}

document_change to_change(const json& operation, const json& before)
{
    const auto path = operation.at("path").get<std::string>();
    document_change change{path, "", ""};
    if (operation.at("op") != "add")
    {
        change.before = before.at(json::json_pointer(path)).dump();
    }
    if (operation.at("op") != "remove")
    {
        change.after = operation.at("value").dump();
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
    const json old_value = to_keyed_json(before);
    std::vector<document_change> changes;
    for (const auto& operation : json::diff(old_value, to_keyed_json(after)))
    {
        changes.push_back(to_change(operation, old_value));
    }
    return document_difference(std::move(changes));
}

} // namespace crowlink
