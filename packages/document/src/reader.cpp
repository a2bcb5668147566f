#include "crowlink/document/document_reader.hpp"

#include "cross_rules.hpp"
#include "crowlink/document/strict_json.hpp"
#include "document_json.hpp"
#include "schema_check.hpp"

#include <fmt/format.h>

namespace crowlink
{

namespace
{

tl::unexpected<document_errors> refuse(std::vector<document_error> errors)
{
    return tl::unexpected<document_errors>(document_errors(std::move(errors)));
}

} // namespace

checked_document read_document(std::string_view text)
{
    if (text.size() > max_document_bytes)
    {
        return refuse({{"", fmt::format("{} bytes", text.size()),
                        fmt::format("at most {} bytes", max_document_bytes)}});
    }
    const auto parsed = parse_strict_json(text);
    if (!parsed)
    {
        return refuse({parsed.error()});
    }
    auto errors = internal::check_schema(*parsed);
    for (auto& broken : internal::check_cross_rules(*parsed))
    {
        errors.push_back(std::move(broken));
    }
    if (!errors.empty())
    {
        return refuse(std::move(errors));
    }
    return internal::from_json(*parsed);
}

} // namespace crowlink
