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

// The schema as JSON, for its descriptions, and as the library wants it.
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

const compiled_schema& the_schema()
{
    static const compiled_schema schema;
    return schema;
}

// A path as tokens; the library writes "<root>", "[services]", "[0]".
using tokens = std::vector<std::string>;

tokens to_tokens(const std::vector<std::string>& context)
{
    tokens path;
    for (std::size_t at = 1; at < context.size(); ++at)
    {
        path.push_back(context[at].substr(1, context[at].size() - 2));
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
    return the_schema().text().at(json::json_pointer(pointer));
}

// The part of the schema that speaks about a path. The library reports only
// paths that the schema describes.
const json& schema_at(const tokens& path)
{
    const json* schema = &the_schema().text();
    for (const auto& token : path)
    {
        const bool list = schema->contains("items");
        schema =
            list ? &schema->at("items") : &schema->at("properties").at(token);
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

std::string names_of(const json& object)
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
            errors.push_back({child_path(path, name), describe(field),
                              "absent; known fields are " + names_of(known)});
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

bool wrong_size(const json& value, const json& schema)
{
    const auto least = schema.value("minItems", std::size_t{0});
    const auto most = schema.value("maxItems", value.size());
    return value.size() < least || value.size() > most;
}

// Says in the schema's own words what is wrong at a path. The library reports
// a container also for the faults of its elements; those have paths of their
// own.
void add_errors(const json& root, const std::set<tokens>& paths,
                const tokens& at, std::vector<document_error>& errors)
{
    const json& value = value_at(root, at);
    const json& schema = schema_at(at);
    const auto path = to_path(at);
    const std::size_t before = errors.size();
    if (value.is_object() && schema.contains("properties"))
    {
        add_field_errors(value, schema, path, errors);
    }
    const bool told = errors.size() > before || has_error_below(paths, at);
    const bool resized = value.is_array() && wrong_size(value, schema);
    if (!told || resized)
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
    if (validator.validate(the_schema().schema(), adapter(value), &results))
    {
        return {};
    }
    std::set<tokens> paths;
    for (const auto& fault : results)
    {
        paths.insert(to_tokens(fault.context));
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
