#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/client/output_format.hpp"

#include <compare>
#include <filesystem>
#include <string>
#include <vector>

namespace crowlink
{

// The options that subcommands share which ask a server.
struct client_options
{
    // URLs, asked in turn.
    std::vector<std::string> servers;
    // Holds the operator's token; empty for none.
    std::filesystem::path token_file;
    // A PEM file of the authority that servers' certificates are checked
    // against; empty for the system's own.
    std::filesystem::path authority_file;
    output_format output = output_format::text;
    // For everything together.
    duration timeout = std::chrono::seconds(10);

    friend auto operator<=>(const client_options&,
                            const client_options&) = default;
};

} // namespace crowlink
