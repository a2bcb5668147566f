#pragma once

#include "form_session.hpp"

#include <string>
#include <string_view>

namespace crowlink::internal
{

inline constexpr const char* html_type = "text/html; charset=utf-8";

// A text as it may stand in HTML, inside an element or a quoted attribute.
std::string escape(std::string_view text);

// A whole page. The title is escaped, the body is HTML.
std::string page(const form_session& session, std::string_view title,
                 std::string_view body);
// A page for somebody who has not signed in.
std::string open_page(std::string_view title, std::string_view body);
std::string sign_in_page(std::string_view message);
std::string error_page(std::string_view message);

// A paragraph that stands out; read aloud by screen readers at once.
std::string notice(std::string_view kind, std::string_view text);

// <input type="hidden">
std::string hidden_input(std::string_view name, std::string_view value);

std::string_view style_sheet();

} // namespace crowlink::internal
