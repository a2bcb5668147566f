#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/transport/message_channel.hpp"

#include <compare>
#include <string>

namespace crowlink
{

// A message that a router_socket received.
struct received_message
{
    // Names the connection while it lasts; answers go there.
    std::string connection;
    // The peer's public key as its connection proved it; empty where keys are
    // not in use.
    std::string public_key;
    // What the peer calls itself. The receiver compares it with the holder of
    // the key.
    host_id sender;
    message_channel channel = message_channel::membership;
    std::string bytes;

    friend auto operator<=>(const received_message&,
                            const received_message&) = default;
};

} // namespace crowlink
