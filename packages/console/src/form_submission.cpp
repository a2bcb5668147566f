#include "form_submission.hpp"

#include "crowlink/console/mint_operation_id.hpp"
#include "request_fields.hpp"

namespace crowlink::internal
{

namespace
{

// Fields of every step, which nobody types.
bool is_own_field(const std::string& name)
{
    return name == "form_token" || name == "base_version" ||
           name == "operation_id";
}

} // namespace

result<form_submission> read_submission(const httplib::Request& request)
{
    form_submission sent;
    const auto kind = parse_form_kind(request.matches[1].str());
    const auto base =
        parse_number(request.get_file_value("base_version").content);
    if (!kind || !base)
    {
        return fail(error_kind::not_found, "", "there is no such form");
    }
    sent.kind = *kind;
    sent.base = config_version(*base);
    const auto operation = request.get_file_value("operation_id").content;
    const bool applies = request.path.ends_with("/apply");
    if (applies && !is_operation_id(operation))
    {
        return fail(error_kind::not_found, "",
                    "the form holds no operation id");
    }
    sent.operation = operation_id(operation);
    for (const auto& [name, field] : request.files)
    {
        if (!is_own_field(name))
        {
            sent.typed.add(name, field.content);
        }
    }
    return sent;
}

} // namespace crowlink::internal
