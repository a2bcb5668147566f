#pragma once

#include "crowlink/membership/declaration.hpp"
#include "crowlink/membership/share_key.hpp"
#include "crowlink/model/system_document.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace crowlink
{

// What nodes are told of one version of the document, and what differs from the
// publication before. To make one takes time that grows with the document; to
// hand it to a publisher takes time that grows with what differs.
struct document_publication
{
    config_version version;
    // The version that the differences refer to; 0 if there was none.
    config_version base;
    std::map<service_id, std::shared_ptr<const declaration>> services;
    std::set<upstream_id> drains;

    // Services that were added or differ, and services that were removed.
    std::vector<service_id> changed;
    std::vector<service_id> removed;
    // Shares that were added, removed, got another weight or other former
    // services, of services that differ in nothing else.
    std::vector<share_key> changed_shares;
    // The last version in which terms alone changed, or in which former
    // services were forgotten.
    std::uint64_t terms_version = 0;
};

using publication_pointer = std::shared_ptr<const document_publication>;

// `before` may be null. `former` must be sorted.
publication_pointer
make_publication(config_version version, const system_document& document,
                 const document_publication* before,
                 const std::vector<former_service>& former = {});

} // namespace crowlink
