#pragma once

#include <string>
#include <vector>

namespace crowlink
{

// The files that hold a host's keys. Paths are absolute, or relative to the
// settings file's folder while they are read.
struct key_settings
{
    // The CURVE key pair of this host; its mode must be 0600.
    std::string own;
    // Who may connect, with which roles; only control hosts need it.
    std::string allowed;
    // One or two keys that authenticate packets between balancers and agents;
    // the first one signs, both are accepted. Their mode must be 0600.
    std::vector<std::string> packet;

    friend auto operator<=>(const key_settings&, const key_settings&) = default;
};

} // namespace crowlink
