#pragma once

// The wire module: what hosts say to each other over UDP.
//
//   answer_datagram.hpp      an upstream's answer on its way to the caller
//   datagram.hpp             any of the datagrams
//   datagram_codec.hpp       datagrams to bytes and back, authenticated
//   datagram_drop.hpp        why bytes were not taken as a datagram
//   datagram_key.hpp        one key that authenticates datagrams
//   forward_datagram.hpp     a caller's packet on its way to the flow's owner
//   key_ring.hpp             the keys that authenticate datagrams
//   notice_datagram.hpp      a refusal or reset on its way to the caller
//   peer_datagram.hpp        what agents tell each other
//   redirect_datagram.hpp    where the owner of a flow is
//   withdrawal_datagram.hpp  the early end of a redirect
//
// The messages between processes over ZeroMQ are generated from proto/ into
// the library crowlink_wire_messages.

#include "crowlink/wire/answer_datagram.hpp"
#include "crowlink/wire/datagram.hpp"
#include "crowlink/wire/datagram_codec.hpp"
#include "crowlink/wire/datagram_drop.hpp"
#include "crowlink/wire/datagram_key.hpp"
#include "crowlink/wire/forward_datagram.hpp"
#include "crowlink/wire/key_ring.hpp"
#include "crowlink/wire/notice_datagram.hpp"
#include "crowlink/wire/peer_datagram.hpp"
#include "crowlink/wire/redirect_datagram.hpp"
#include "crowlink/wire/withdrawal_datagram.hpp"
