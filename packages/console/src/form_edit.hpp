#pragma once

#include "crowlink/base/error.hpp"
#include "crowlink/model/system_document.hpp"
#include "form_kind.hpp"
#include "form_values.hpp"

#include <string>

namespace crowlink::internal
{

// What a form shows of a document before anything is typed. `id` names the
// service of the forms that are about one; empty for a new one. not_found if
// there is no such service.
result<form_values> initial_values(form_kind kind,
                                   const system_document& document,
                                   const std::string& id);

// The text of the document that results from a form. It is not checked: what
// was typed may break any rule. not_found if the service is gone.
result<std::string> edited_text(form_kind kind, const system_document& base,
                                const form_values& typed);

// The fields of a row of a form, such as "kind_name_0".
std::string row_field(std::string_view name, std::size_t row);

} // namespace crowlink::internal
