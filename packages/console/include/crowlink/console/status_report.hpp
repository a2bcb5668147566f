#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/base/time.hpp"
#include "crowlink/console/evacuation_entry.hpp"
#include "crowlink/console/node_status.hpp"
#include "crowlink/console/upstream_status.hpp"

#include <compare>
#include <vector>

namespace crowlink
{

// Who holds which version, how old it is, who is draining and who leads, as
// the answering host knows it.
struct status_report
{
    // The host that answers.
    host_id host;
    // Empty where no leader is known.
    host_id leader;
    // The version that the answering host holds.
    config_version version;
    // How long ago the answering host last knew that this was current.
    duration age{};
    // Whether a quorum can take changes now, as far as this host knows.
    bool quorum = false;
    std::vector<node_status> nodes;
    std::vector<upstream_status> upstreams;
    // Sorted by data centre.
    std::vector<evacuation_entry> evacuations{};

    friend auto operator<=>(const status_report&,
                            const status_report&) = default;
};

} // namespace crowlink
