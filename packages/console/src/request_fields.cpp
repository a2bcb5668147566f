#include "request_fields.hpp"

#include "crowlink/console/mint_operation_id.hpp"
#include "crowlink/document/strict_json.hpp"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <sstream>
#include <vector>

namespace crowlink::internal
{

namespace
{

using nlohmann::json;

tl::unexpected<error> refuse(const std::string& place,
                             const std::string& message)
{
    return fail(error_kind::invalid, place, message);
}

constexpr std::size_t max_host_bytes = 63;

result<host_id> host_field(const json& body, const char* name)
{
    const auto text = text_field(body, name);
    if (!text)
    {
        return tl::unexpected<error>(text.error());
    }
    if (text->empty() || text->size() > max_host_bytes)
    {
        return refuse(name, "must be a name of 1 to 63 bytes");
    }
    return host_id(*text);
}

result<endpoint> address_field(const json& body)
{
    const auto text = text_field(body, "address");
    if (!text)
    {
        return tl::unexpected<error>(text.error());
    }
    auto address = endpoint::parse(*text);
    if (!address || address->port == 0)
    {
        return refuse("address", "must be an IP address and a port");
    }
    return address;
}

} // namespace

result<json> parse_body(const std::string& body,
                        std::initializer_list<const char*> allowed)
{
    const auto value = parse_strict_json(body);
    if (!value)
    {
        return refuse("body", value.error().to_string());
    }
    if (!value->is_object())
    {
        return refuse("body", "must be an object");
    }
    for (const auto& [name, unused] : value->items())
    {
        const auto same = [&field = name](const char* other)
        {
            return field == other;
        };
        if (std::none_of(allowed.begin(), allowed.end(), same))
        {
            return refuse(name, "is not known");
        }
    }
    return *value;
}

result<std::string> text_field(const json& body, const char* name)
{
    const auto found = body.find(name);
    if (found == body.end() || !found->is_string())
    {
        return refuse(name, "must be given as a text");
    }
    return found->get<std::string>();
}

result<config_version> version_field(const json& body, const char* name)
{
    const auto found = body.find(name);
    if (found == body.end() || !found->is_number_unsigned())
    {
        return refuse(name, "must be given as a whole number");
    }
    return config_version(found->get<std::uint64_t>());
}

result<operation_id> operation_field(const json& body)
{
    const auto text = text_field(body, "operation_id");
    if (!text)
    {
        return tl::unexpected<error>(text.error());
    }
    if (!is_operation_id(*text))
    {
        return refuse("operation_id",
                      "must be 1 to 64 letters, digits or any of -_.");
    }
    return operation_id(*text);
}

checked_document document_field(const json& body)
{
    const auto found = body.find("document");
    if (found == body.end())
    {
        return tl::unexpected<document_errors>(document_errors(
            {{"", "nothing", "given in the field named document"}}));
    }
    if (found->is_string())
    {
        return read_document(found->get_ref<const std::string&>());
    }
    return read_document(found->dump());
}

result<member_change> member_change_of(const json& body,
                                       const std::string& author)
{
    member_change change;
    change.author = author;
    const auto action =
        parse_member_action(text_field(body, "action").value_or(""));
    if (!action)
    {
        return refuse("action", "must be add, remove or replace");
    }
    change.action = *action;
    const auto operation = operation_field(body);
    if (!operation)
    {
        return tl::unexpected<error>(operation.error());
    }
    change.operation = *operation;
    const auto host = host_field(body, "host");
    if (!host)
    {
        return tl::unexpected<error>(host.error());
    }
    change.host = *host;
    if (*action == member_action::remove)
    {
        return change;
    }
    const auto address = address_field(body);
    if (!address)
    {
        return tl::unexpected<error>(address.error());
    }
    change.address = *address;
    if (*action == member_action::add)
    {
        return change;
    }
    const auto replaced = host_field(body, "replaced");
    if (!replaced)
    {
        return tl::unexpected<error>(replaced.error());
    }
    change.replaced = *replaced;
    return change;
}

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end)
    {
        return std::nullopt;
    }
    return value;
}

result<flow_key> parse_flow(const std::string& text)
{
    std::istringstream stream(text);
    std::vector<std::string> words;
    for (std::string word; stream >> word;)
    {
        if (word != ">")
        {
            words.push_back(word);
        }
    }
    constexpr std::size_t word_count = 3;
    const bool known =
        words.size() == word_count && (words[0] == "udp" || words[0] == "tcp");
    if (!known)
    {
        return refuse("flow", "must be such as \"udp 192.0.2.7:4711 > "
                              "198.51.100.1:80\"");
    }
    const auto caller = endpoint::parse(words[1]);
    const auto service = endpoint::parse(words[2]);
    if (!caller || !service)
    {
        return tl::unexpected<error>(caller ? service.error() : caller.error());
    }
    flow_key flow;
    flow.caller = *caller;
    flow.service = *service;
    flow.protocol = words[0] == "tcp" ? transport::tcp : transport::udp;
    return flow;
}

} // namespace crowlink::internal
