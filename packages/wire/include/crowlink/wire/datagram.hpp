#pragma once

#include "crowlink/wire/answer_datagram.hpp"
#include "crowlink/wire/forward_datagram.hpp"
#include "crowlink/wire/notice_datagram.hpp"
#include "crowlink/wire/peer_datagram.hpp"
#include "crowlink/wire/redirect_datagram.hpp"
#include "crowlink/wire/withdrawal_datagram.hpp"

#include <variant>

namespace crowlink
{

// Any datagram between hosts.
using datagram =
    std::variant<forward_datagram, answer_datagram, notice_datagram,
                 redirect_datagram, withdrawal_datagram, peer_datagram>;

} // namespace crowlink
