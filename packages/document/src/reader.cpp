#include "crowlink/document/document_reader.hpp"

#include "cross_field_rules.hpp"
#include "crowlink/document/strict_json.hpp"
#include "document_json.hpp"
#include "schema_check.hpp"

#include <exception>
#include <fmt/format.h>
#include <utility>

namespace crowlink
{

namespace
{

tl::unexpected<document_errors> make_errors(std::vector<document_error> errors)
{
    return tl::unexpected<document_errors>(document_errors(std::move(errors)));
}

tl::expected<nlohmann::json, document_errors> parse(std::string_view text)
{
    if (text.size() > max_document_bytes)
    {
        return make_errors(
            {{"", fmt::format("{} bytes", text.size()),
              fmt::format("at most {} bytes", max_document_bytes)}});
    }
    auto parsed = parse_strict_json(text);
    if (!parsed)
    {
        return make_errors({parsed.error()});
    }
    return std::move(*parsed);
}

} // namespace

checked_document read_document(std::string_view text)
{
    const auto parsed = parse(text);
    if (!parsed)
    {
        return tl::unexpected(parsed.error());
    }
    auto errors = internal::check_schema(*parsed);
    for (auto& violation : internal::check_cross_field_rules(*parsed))
    {
        errors.push_back(std::move(violation));
    }
    if (!errors.empty())
    {
        return make_errors(std::move(errors));
    }
    return internal::from_json(*parsed);
}

checked_document read_committed_document(std::string_view text)
{
    const auto parsed = parse(text);
    if (!parsed)
    {
        return tl::unexpected(parsed.error());
    }
    auto errors = internal::check_cross_field_rules(*parsed);
    if (!errors.empty())
    {
        return make_errors(std::move(errors));
    }
    try
    {
        return internal::from_json(*parsed);
    }
    catch (const std::exception& failure)
    {
        // The document was committed by a release with another schema.
        return make_errors({{"", failure.what(), "a document of this schema"}});
    }
}

} // namespace crowlink
