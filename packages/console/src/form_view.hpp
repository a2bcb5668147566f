#pragma once

#include "crowlink/document/document_difference.hpp"
#include "crowlink/document/document_errors.hpp"
#include "form_kind.hpp"
#include "form_values.hpp"

#include <string>

// Forms and what belongs to them as HTML.
namespace crowlink::internal
{

// A page's title for a form, such as "Limits and sharing of loans".
std::string form_title(form_kind kind, const form_values& values);

// The fields of a form with their values, without the <form> around them.
std::string form_fields_html(form_kind kind, const form_values& values);

// What was typed as hidden fields, to be sent again with the next step.
std::string hidden_values(const form_values& values);

std::string difference_table(const document_difference& difference);
std::string error_list(const document_errors& errors);

} // namespace crowlink::internal
