#pragma once

#include "crowlink/model/service.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace crowlink
{

// A service of one version of the document, with what is needed to tell nodes
// only what changed of it.
struct declaration
{
    // With the shares that the routes give it.
    service declared;
    // Of the whole content, and of the content without the shares.
    std::uint64_t hash = 0;
    std::uint64_t fixed_hash = 0;
    // As it is sent to nodes.
    std::size_t bytes = 0;
    // For each share the version in which its terms alone changed last, or in
    // which former services were forgotten; 0 if there was none.
    std::vector<std::uint64_t> terms_changed;
};

} // namespace crowlink
