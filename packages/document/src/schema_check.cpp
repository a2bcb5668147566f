#include "schema_check.hpp"

#include "crowlink/document/document_schema.hpp"
#include "document_schema_text.hpp"
#include "json_text.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <set>
#include <string>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace crowlink
{

std::string_view document_schema()
{
    return internal::document_schema_text;
}

namespace internal
{

namespace
{

using nlohmann::json;
using adapter = valijson::adapters::NlohmannJsonAdapter;

// The schema as JSON, for its descriptions, and in the validator's form.
class compiled_schema
{
public:
    compiled_schema() : m_text(json::parse(document_schema_text))
    {
        valijson::SchemaParser parser;
        parser.populateSchema(adapter(m_text), m_schema);
    }

    const json& text() const { return m_text; }
    const valijson::Schema& schema() const { return m_schema; }

private:
    json m_text;
    valijson::Schema m_schema;
};

const compiled_schema& shared_schema()
{
    static const compiled_schema schema;
    return schema;
}

// A path as tokens. The validator formats the context of an error as "<root>",
// "[services]", "[0]".
using tokens = std::vector<std::string>;

tokens to_tokens(const std::vector<std::string>& context)
{
    tokens path;
    for (std::size_t index = 1; index < context.size(); ++index)
    {
        path.push_back(context[index].substr(1, context[index].size() - 2));
    }
    return path;
}

std::string to_path(const tokens& path)
{
    std::string text;
    for (const auto& token : path)
    {
        text = child_path(text, token);
    }
    return text;
}

const json& resolve(const json& schema)
{
    const auto reference = schema.find("$ref");
    if (reference == schema.end())
    {
        return schema;
    }
    const auto pointer = reference->get<std::string>().substr(1);
    return shared_schema().text().at(json::json_pointer(pointer));
}

// The subschema of a path. The validator reports only paths that the schema
// describes.
const json& schema_at(const tokens& path)
{
    const json* schema = &shared_schema().text();
    for (const auto& token : path)
    {
        const bool is_list = schema->contains("items");
        schema = is_list ? &schema->at("items")
                         : &schema->at("properties").at(token);
        schema = &resolve(*schema);
    }
    return *schema;
}

const json& value_at(const json& root, const tokens& path)
{
    const json* value = &root;
    for (const auto& token : path)
    {
        value = value->is_array() ? &value->at(std::stoul(token))
                                  : &value->at(token);
    }
    return *value;
}

std::string field_names(const json& object)
{
    std::string names;
    for (const auto& [name, unused] : object.items())
    {
        names += (names.empty() ? "" : ", ") + name;
    }
    return names;
}

void add_field_errors(const json& value, const json& schema,
                      const std::string& path,
                      std::vector<document_error>& errors)
{
    const json& known = schema.at("properties");
    for (const auto& [name, field] : value.items())
    {
        if (!known.contains(name))
        {
            errors.push_back(
                {child_path(path, name), describe(field),
                 "absent; known fields are " + field_names(known)});
        }
    }
    for (const auto& name : schema.value("required", json::array()))
    {
        const auto field = name.get<std::string>();
        if (!value.contains(field))
        {
            const auto rule = resolve(known.at(field)).at("description");
            errors.push_back(
                {child_path(path, field), "nothing", rule.get<std::string>()});
        }
    }
}

bool has_error_below(const std::set<tokens>& paths, const tokens& path)
{
    const auto next = paths.upper_bound(path);
    return next != paths.end() && next->size() > path.size() &&
           std::equal(path.begin(), path.end(), next->begin());
}

bool is_wrong_size(const json& value, const json& schema)
{
    const auto min_items = schema.value("minItems", std::size_t{0});
    const auto max_items = schema.value("maxItems", value.size());
    return value.size() < min_items || value.size() > max_items;
}

// Adds the errors at a path, with the schema's description as the rule. The
// validator also reports a container for the errors of its elements, which are
// reported at their own paths.
void add_errors(const json& root, const std::set<tokens>& paths,
                const tokens& location, std::vector<document_error>& errors)
{
    const json& value = value_at(root, location);
    const json& schema = schema_at(location);
    const auto path = to_path(location);
    const std::size_t before = errors.size();
    if (value.is_object() && schema.contains("properties"))
    {
        add_field_errors(value, schema, path, errors);
    }
    const bool reported =
        errors.size() > before || has_error_below(paths, location);
    const bool has_wrong_size =
        value.is_array() && is_wrong_size(value, schema);
    if (!reported || has_wrong_size)
    {
        errors.push_back({path, describe(value),
                          schema.at("description").get<std::string>()});
    }
}

} // namespace

std::vector<document_error> check_schema(const json& value)
{
    valijson::Validator validator(valijson::Validator::kStrongTypes);
    valijson::ValidationResults results;
    if (validator.validate(shared_schema().schema(), adapter(value), &results))
    {
        return {};
    }
    std::set<tokens> paths;
    for (const auto& violation : results)
    {
        paths.insert(to_tokens(violation.context));
    }
    std::vector<document_error> errors;
    for (const auto& path : paths)
    {
        add_errors(value, paths, path, errors);
    }
    return errors;
}

} // namespace internal

} // namespace crowlink
