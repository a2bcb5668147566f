#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/base/shared_text.hpp"

#include <compare>
#include <string>

namespace crowlink::replication
{

// A version of the document and the operation that created it.
struct document_version
{
    config_version version;
    operation_id operation;
    std::string operator_name;
    // Empty if it is no longer kept.
    shared_text document;

    friend auto operator<=>(const document_version&,
                            const document_version&) = default;
};

} // namespace crowlink::replication
