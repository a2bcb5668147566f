#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/model/system_document.hpp"

#include <compare>
#include <string>

namespace crowlink
{

// One change of the document, already checked.
struct change_request
{
    // The version that the operator's document was made from.
    config_version base;
    // A resend carries the same one.
    operation_id operation;
    // The operator's name, for the history.
    std::string author;
    system_document document;
    // The version that the operator gave the document; 0 lets the log count
    // from `base`. See replication::document_change.
    config_version given{};

    friend auto operator<=>(const change_request&,
                            const change_request&) = default;
};

} // namespace crowlink
