#pragma once

#include "crowlink/base/error.hpp"
#include "crowlink/transport/curve_key_pair.hpp"
#include "crowlink/transport/packet_key.hpp"

#include <string>

namespace crowlink
{

// Key files are JSON with comments. A file is made with mode 0600 and never
// replaces one that exists. On reading, a file that others may read or that
// belongs to another user is refused.
//
//   {"public_key": "<40 characters>", "secret_key": "<40 characters>"}
//   {"number": 1, "packet_key": "<32 hexadecimal digits>"}

// Writes a pair to a new file.
result<void> write_key_file(const std::string& file,
                            const curve_key_pair& pair);
result<void> write_key_file(const std::string& file, const packet_key& key);

// Reads a pair and checks that the public key belongs to the secret one.
result<curve_key_pair> read_curve_key_file(const std::string& file);
result<packet_key> read_packet_key_file(const std::string& file);

} // namespace crowlink
