#pragma once

#include "crowlink/base/error.hpp"
#include "crowlink/base/flow_key.hpp"
#include "crowlink/base/ids.hpp"
#include "crowlink/console/member_change.hpp"
#include "crowlink/document/document_reader.hpp"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

// The fields of the API's requests, checked. An error names the field.
namespace crowlink::internal
{

// The body as an object with no other fields than those that are allowed.
result<nlohmann::json> parse_body(const std::string& body,
                                  std::initializer_list<const char*> allowed);

result<std::string> text_field(const nlohmann::json& body, const char* name);
result<config_version> version_field(const nlohmann::json& body,
                                     const char* name);
result<operation_id> operation_field(const nlohmann::json& body);

// The field `document`: JSON, or a text of JSON with comments.
checked_document document_field(const nlohmann::json& body);

result<member_change> member_change_of(const nlohmann::json& body,
                                       const std::string& author);

// A number in decimal digits.
std::optional<std::uint64_t> parse_number(std::string_view text);

// "udp 192.0.2.7:4711 > 198.51.100.1:80"; the arrow may be left out.
result<flow_key> parse_flow(const std::string& text);

} // namespace crowlink::internal
