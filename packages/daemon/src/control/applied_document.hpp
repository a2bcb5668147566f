#pragma once

#include "crowlink/membership/document_publication.hpp"
#include "crowlink/model/system_document.hpp"

#include <compare>
#include <memory>

namespace crowlink::internal
{

// The document that this control host has applied. Its content is shared, so
// that to hand it on takes no time that grows with it.
struct applied_document
{
    config_version version;
    // Null before the first version.
    std::shared_ptr<const system_document> document;
    publication_pointer publication;

    friend auto operator<=>(const applied_document&,
                            const applied_document&) = default;
};

} // namespace crowlink::internal
