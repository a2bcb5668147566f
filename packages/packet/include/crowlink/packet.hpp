#pragma once

// The packet module: ports to callers. A port turns what a socket received into
// a caller's packet, and an answer or a refusal into what a socket is to send.
// It holds no socket and no state of flows.
//
//   caller_packet.hpp      a caller's packet: flow, role and payload
//   caller_port.hpp        the concept that both ports satisfy
//   datagram_port.hpp      plain datagrams of UDP services
//   ip_in_udp_port.hpp     IP packets in UDP, as the kernel's fou takes them
//   outgoing_datagram.hpp  what a socket is to send, and where
//   packet_drop.hpp        why a packet was not taken
//   received_datagram.hpp  what a socket received, and from where
//   refusal.hpp            how a caller is told that its flow is refused
//   tcp_reset.hpp          the numbers of the RST that answers a segment

#include "crowlink/packet/caller_packet.hpp"
#include "crowlink/packet/caller_port.hpp"
#include "crowlink/packet/datagram_port.hpp"
#include "crowlink/packet/ip_in_udp_port.hpp"
#include "crowlink/packet/outgoing_datagram.hpp"
#include "crowlink/packet/packet_drop.hpp"
#include "crowlink/packet/received_datagram.hpp"
#include "crowlink/packet/refusal.hpp"
#include "crowlink/packet/tcp_reset.hpp"
