#include "form_edit.hpp"

#include "crowlink/document/document_writer.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sstream>

namespace crowlink::internal
{

namespace
{

using json = nlohmann::ordered_json;

// Rows that a form offers beyond those in use.
constexpr std::size_t spare_rows = 2;
constexpr std::size_t max_rows = 66;

std::string trimmed(const std::string& text)
{
    constexpr const char* blanks = " \t\r\n";
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string::npos)
    {
        return "";
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

// Words separated by blanks, commas or lines.
json words(std::string text)
{
    std::replace(text.begin(), text.end(), ',', ' ');
    std::istringstream stream(text);
    auto list = json::array();
    for (std::string word; stream >> word;)
    {
        list.push_back(word);
    }
    return list;
}

// A number where one was typed; any other text stays one, for the check of the
// document to refuse.
json typed_number(const std::string& text)
{
    constexpr bool throw_on_error = false;
    const auto value = json::parse(trimmed(text), nullptr, throw_on_error);
    return value.is_number() ? value : json(text);
}

json find_service(const json& document, const std::string& id)
{
    for (const auto& item : document.at("services"))
    {
        if (item.at("id").dump() == id)
        {
            return item;
        }
    }
    return nullptr;
}

std::string lines(const json& list)
{
    std::string text;
    for (const auto& item : list)
    {
        text += item.get<std::string>() + "\n";
    }
    return text;
}

std::string spaced(const json& list)
{
    std::string text;
    for (const auto& item : list)
    {
        text += (text.empty() ? "" : " ") + item.get<std::string>();
    }
    return text;
}

form_values service_values(const json& declared)
{
    form_values values;
    values.add("id", declared.is_null() ? "" : declared.at("id").dump());
    const bool fresh = declared.is_null();
    values.add("name", fresh ? "" : declared.at("name").get<std::string>());
    values.add("protocol",
               fresh ? "udp" : declared.at("protocol").get<std::string>());
    values.add("addresses", fresh ? "" : lines(declared.at("addresses")));
    values.add("new", fresh ? "yes" : "");
    return values;
}

form_values sharing_values(const json& declared)
{
    form_values values;
    values.add("id", declared.at("id").dump());
    values.add("name", declared.at("name").get<std::string>());
    values.add("slots", declared.at("limits").at("slots").dump());
    values.add("connections", declared.at("limits").at("connections").dump());
    values.add("goal", declared.at("goal").get<std::string>());
    for (const char* name : {"candidates", "cold_start_s", "silent_after_s"})
    {
        values.add(name, declared.at(name).dump());
    }
    std::size_t row = 0;
    for (const auto& kind : declared.at("kinds"))
    {
        values.add(row_field("kind_name", row),
                   kind.at("name").get<std::string>());
        values.add(row_field("kind_weight", row), kind.at("weight").dump());
        values.add(row_field("kind_idempotent", row),
                   kind.at("idempotent").get<bool>() ? "yes" : "");
        ++row;
    }
    for (std::size_t spare = 0; spare < spare_rows; ++spare, ++row)
    {
        values.add(row_field("kind_name", row), "");
        values.add(row_field("kind_weight", row), "1");
    }
    return values;
}

form_values places_values(const json& document)
{
    form_values values;
    std::size_t row = 0;
    for (const auto& region : document.at("regions"))
    {
        values.add(row_field("region", row),
                   region.at("name").get<std::string>());
        values.add(row_field("places", row), spaced(region.at("places")));
        ++row;
    }
    for (std::size_t spare = 0; spare < spare_rows; ++spare, ++row)
    {
        values.add(row_field("region", row), "");
        values.add(row_field("places", row), "");
    }
    return values;
}

void edit_service(json& document, const form_values& typed)
{
    auto& services = document.at("services");
    if (typed.get("new") == "yes")
    {
        services.push_back({{"id", typed_number(typed.get("id"))},
                            {"name", trimmed(typed.get("name"))},
                            {"protocol", typed.get("protocol")},
                            {"addresses", words(typed.get("addresses"))}});
        return;
    }
    for (std::size_t at = 0; at < services.size(); ++at)
    {
        auto& declared = services.at(at);
        if (declared.at("id").dump() != typed.get("id"))
        {
            continue;
        }
        if (typed.get("remove") == "yes")
        {
            services.erase(at);
            return;
        }
        declared["name"] = trimmed(typed.get("name"));
        declared["protocol"] = typed.get("protocol");
        declared["addresses"] = words(typed.get("addresses"));
        return;
    }
}

json typed_kinds(const form_values& typed)
{
    auto kinds = json::array();
    for (std::size_t row = 0; row < max_rows; ++row)
    {
        const auto name = trimmed(typed.get(row_field("kind_name", row)));
        if (name.empty())
        {
            continue;
        }
        const bool idempotent =
            typed.get(row_field("kind_idempotent", row)) == "yes";
        kinds.push_back(
            {{"name", name},
             {"weight", typed_number(typed.get(row_field("kind_weight", row)))},
             {"idempotent", idempotent}});
    }
    return kinds;
}

void edit_sharing(json& document, const form_values& typed)
{
    for (auto& declared : document.at("services"))
    {
        if (declared.at("id").dump() != typed.get("id"))
        {
            continue;
        }
        auto& limits = declared["limits"];
        limits["slots"] = typed_number(typed.get("slots"));
        limits["connections"] = typed_number(typed.get("connections"));
        declared["goal"] = typed.get("goal");
        for (const char* name :
             {"candidates", "cold_start_s", "silent_after_s"})
        {
            declared[name] = typed_number(typed.get(name));
        }
        declared["kinds"] = typed_kinds(typed);
    }
}

void edit_places(json& document, const form_values& typed)
{
    auto regions = json::array();
    for (std::size_t row = 0; row < max_rows; ++row)
    {
        const auto name = trimmed(typed.get(row_field("region", row)));
        const auto places = words(typed.get(row_field("places", row)));
        if (!name.empty() || !places.empty())
        {
            regions.push_back({{"name", name}, {"places", places}});
        }
    }
    document["regions"] = regions;
}

} // namespace

std::string row_field(std::string_view name, std::size_t row)
{
    return fmt::format("{}_{}", name, row);
}

result<form_values> initial_values(form_kind kind,
                                   const system_document& document,
                                   const std::string& id)
{
    const auto value = json::parse(write_compact_document(document));
    const auto declared = find_service(value, id);
    const bool adds = kind == form_kind::service && id.empty();
    if (is_about_service(kind) && !adds && declared.is_null())
    {
        return fail(error_kind::not_found, "id", "there is no such service");
    }
    form_values values;
    switch (kind)
    {
    case form_kind::service:
        return service_values(declared);
    case form_kind::sharing:
        return sharing_values(declared);
    case form_kind::places:
        return places_values(value);
    case form_kind::drains:
        values.add("drains", lines(value.at("drains")));
        return values;
    case form_kind::document:
        values.add("document", write_document(document));
        return values;
    }
    return values;
}

result<std::string> edited_text(form_kind kind, const system_document& base,
                                const form_values& typed)
{
    auto value = json::parse(write_compact_document(base));
    const bool adds = kind == form_kind::service && typed.get("new") == "yes";
    if (is_about_service(kind) && !adds &&
        find_service(value, typed.get("id")).is_null())
    {
        return fail(error_kind::not_found, "id", "there is no such service");
    }
    switch (kind)
    {
    case form_kind::service:
        edit_service(value, typed);
        break;
    case form_kind::sharing:
        edit_sharing(value, typed);
        break;
    case form_kind::places:
        edit_places(value, typed);
        break;
    case form_kind::drains:
        value["drains"] = words(typed.get("drains"));
        break;
    case form_kind::document:
        return typed.get("document");
    }
    return value.dump();
}

} // namespace crowlink::internal
