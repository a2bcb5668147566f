#pragma once

#include "crowlink/membership/published_state.hpp"
#include "crowlink/membership/publisher_session.hpp"

#include <cstddef>
#include <map>

namespace crowlink::internal
{

// The declaration that a node is to be sent because of a logged change, or null
// if a later entry covers it or share changes tell it.
const published_service* due_declaration(const published_state& state,
                                         const publisher_session& session,
                                         const logged_change& change);

// The first declaration at or after a service that the node's snapshot has.
std::map<service_id, published_service>::const_iterator
next_declaration(const published_state& state, const publisher_session& session,
                 service_id from);

// About how many bytes a node still lacks of the document, but for changed
// terms.
std::size_t version_bytes(const published_state& state,
                          const publisher_session& session);

} // namespace crowlink::internal
