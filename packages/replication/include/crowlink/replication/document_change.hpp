#pragma once

#include "crowlink/base/ids.hpp"

#include <compare>
#include <string>

namespace crowlink::replication
{

// An operator's wish to put a new document in place of one version.
struct document_change
{
    // The version that the document was made from; 0 for the first. Without
    // meaning where a version is given.
    config_version base;
    // Carried again by a resend, so that it gets the first answer.
    operation_id operation;
    std::string operator_name;
    // The document's bytes, opaque here.
    std::string document;
    // The version that the operator gave the document; 0 lets the log count.
    // Of given versions the highest is in force, whatever the order they come
    // in; one that is not higher changes nothing.
    config_version given{};

    friend auto operator<=>(const document_change&,
                            const document_change&) = default;
};

} // namespace crowlink::replication
