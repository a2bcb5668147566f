#pragma once

#include <string>

namespace crowlink::internal
{

// Who uses the forms, and what each form of theirs must carry.
struct form_session
{
    std::string operator_name;
    std::string form_token;
};

} // namespace crowlink::internal
