#pragma once

// The transport module: thin shells around sockets, and the keys that they
// use. Nothing here decides anything.
//
//   curve_key_pair.hpp    a CURVE key pair, made by libzmq
//   dealer_socket.hpp     a ZeroMQ connection to one control host
//   key_file.hpp          reading and writing key files, mode 0600
//   datagram_batch.hpp    buffers for many datagrams at a time
//   message_channel.hpp   what a message belongs to
//   packet_key.hpp        a key that authenticates packets
//   poller.hpp            waits for many descriptors (epoll)
//   received_message.hpp  a message and who sent it
//   router_socket.hpp     a ZeroMQ socket that many connect to
//   udp_socket.hpp        UDP, batched
//   wake_event.hpp        wakes a waiting thread (eventfd)
//   zap_authenticator.hpp admits connections by their key (ZeroMQ RFC 27)

#include "crowlink/transport/curve_key_pair.hpp"
#include "crowlink/transport/datagram_batch.hpp"
#include "crowlink/transport/dealer_socket.hpp"
#include "crowlink/transport/key_file.hpp"
#include "crowlink/transport/message_channel.hpp"
#include "crowlink/transport/packet_key.hpp"
#include "crowlink/transport/poller.hpp"
#include "crowlink/transport/received_message.hpp"
#include "crowlink/transport/router_socket.hpp"
#include "crowlink/transport/udp_socket.hpp"
#include "crowlink/transport/wake_event.hpp"
#include "crowlink/transport/zap_authenticator.hpp"
