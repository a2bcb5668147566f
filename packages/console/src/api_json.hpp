#pragma once

#include "crowlink/base/error.hpp"
#include "crowlink/console/explain_answer.hpp"
#include "crowlink/console/history_entry.hpp"
#include "crowlink/console/member_entry.hpp"
#include "crowlink/console/status_report.hpp"
#include "crowlink/console/versioned_document.hpp"
#include "crowlink/document/document_difference.hpp"

#include <nlohmann/json.hpp>
#include <string_view>
#include <vector>

// The values of the console as the JSON of the API.
namespace crowlink::internal
{

using ordered_json = nlohmann::ordered_json;

ordered_json to_json(const versioned_document& value);
ordered_json to_json(const std::vector<history_entry>& entries);
ordered_json to_json(const std::vector<member_entry>& members);
ordered_json to_json(const std::vector<evacuation_entry>& evacuations);
ordered_json to_json(const status_report& report);
ordered_json to_json(const explain_answer& answer);
ordered_json to_json(const document_difference& difference);

std::string_view to_string(upstream_state state);
double to_seconds(duration value);

} // namespace crowlink::internal
