#pragma once

#include "crowlink/base/error.hpp"
#include "crowlink/replication/route_history.hpp"

#include "replication.pb.h"

#include <string>
#include <string_view>

// The encoding of routes in the log and its snapshots: each takes a fixed
// number of bytes, since every version of the document holds all of them.
namespace crowlink::replication::internal
{

std::string encode_routes(const route_table& routes);
// Empty where the bytes are malformed: nothing is known of those addresses.
route_table decode_routes(std::string_view bytes);

void write_history(const route_history& history,
                   crowlink::wire::replication::StoredRouting& out);
route_history
read_history(const crowlink::wire::replication::StoredRouting& in);

} // namespace crowlink::replication::internal
