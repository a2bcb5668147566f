#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/base/time.hpp"
#include "crowlink/model/system_document.hpp"

#include <compare>

namespace crowlink
{

// A document and the version it has.
struct versioned_document
{
    config_version version;
    system_document document;
    // How long ago this host last knew, by a quorum, that it was current; zero
    // for a version of the past.
    duration age{};

    friend auto operator<=>(const versioned_document&,
                            const versioned_document&) = default;
};

} // namespace crowlink
