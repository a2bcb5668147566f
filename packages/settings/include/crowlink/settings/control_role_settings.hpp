#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/settings/control_peer.hpp"
#include "crowlink/settings/tls_settings.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace crowlink
{

// The control role: a host with a disk that holds the replicated document.
struct control_role_settings
{
    // Everything that survives a restart lives below this folder.
    std::string data_folder;
    // Where other control hosts connect.
    endpoint peer_listen;
    // Where agents and balancers connect.
    endpoint node_listen;
    // All control hosts, this one included.
    std::vector<control_peer> peers;
    // So many hosts may be lost at once; the voters are kept in number for it
    // without an operator. Empty where operators alone decide who votes.
    std::optional<std::uint32_t> losses_borne{};
    // A leader that was not heard for so long is replaced, within one and a
    // half times this. Equal on all control hosts.
    std::uint32_t election_ms = 1000;
    // How long an open flow may live: for so long control remembers where an
    // address led before. Equal on all control hosts.
    double flow_seconds = 3600;
    // Whether this host may found the log with the others. To be false on a
    // host that is started in place of another one.
    bool may_found = true;
    // Where operators connect.
    std::optional<endpoint> http;
    // The operators' tokens; required with `http`.
    std::string tokens_file;
    std::optional<tls_settings> tls;
    // Where the users' platform sends its operators' calls; without tokens.
    std::optional<endpoint> platform_listen{};

    friend auto operator<=>(const control_role_settings&,
                            const control_role_settings&) = default;
};

} // namespace crowlink
