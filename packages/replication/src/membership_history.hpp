#pragma once

#include "crowlink/replication/log_position.hpp"
#include "crowlink/replication/membership.hpp"

#include <vector>

namespace crowlink::replication::internal
{

// The memberships that the log holds, so that a truncated one is undone.
class membership_history
{
public:
    // The newest, committed or not: it is in force from its append on.
    const membership& current() const { return m_records.back().members; }
    log_index current_index() const { return m_records.back().index; }

    // The one in force at this index.
    const membership& at(log_index index) const;

    void append(log_index index, membership members);
    void truncate_from(log_index index);
    // Forgets what came before the one in force at this index.
    void compact_to(log_index index);
    void reset(log_index index, membership members);

private:
    struct record
    {
        log_index index = 0;
        membership members;
    };

    // Never empty; the first is from the snapshot, or of nobody.
    std::vector<record> m_records{record{}};
};

} // namespace crowlink::replication::internal
