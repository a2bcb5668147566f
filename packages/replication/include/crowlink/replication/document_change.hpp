#pragma once

#include "crowlink/base/ids.hpp"

#include <compare>
#include <string>

namespace crowlink::replication
{

// An operator's wish to put a new document in place of one version.
struct document_change
{
    // The version that the document was made from; 0 for the first.
    config_version base;
    // Carried again by a resend, so that it gets the first answer.
    operation_id operation;
    std::string operator_name;
    // The document's bytes, opaque here.
    std::string document;

    friend auto operator<=>(const document_change&,
                            const document_change&) = default;
};

} // namespace crowlink::replication
