#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/base/shared_text.hpp"
#include "crowlink/replication/change_routing.hpp"

#include <compare>
#include <optional>
#include <string>

namespace crowlink::replication
{

// A request of an operator to replace one version of the document.
struct document_change
{
    // The version that the new document is based on; 0 for the first. Ignored
    // if `given` is set.
    config_version base;
    // Identifies the operation; a retry with the same id gets the first answer.
    operation_id operation;
    std::string operator_name;
    // The document as opaque bytes.
    shared_text document;
    // Explicit version number; 0 assigns the next number. The highest explicit
    // version is in force regardless of the order of arrival; a change with one
    // that is not higher than the current version has no effect.
    config_version given{};
    // Absent in changes of earlier releases.
    std::optional<change_routing> routing{};

    friend auto operator<=>(const document_change&,
                            const document_change&) = default;
};

} // namespace crowlink::replication
