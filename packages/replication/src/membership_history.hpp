#pragma once

#include "crowlink/replication/log_position.hpp"
#include "crowlink/replication/membership.hpp"

#include <vector>

namespace crowlink::replication::internal
{

// The memberships in the log; truncating the log restores the previous one.
class membership_history
{
public:
    // The newest membership, which is in force even if it is not committed.
    const membership& current() const { return m_records.back().members; }
    log_index current_index() const { return m_records.back().index; }

    // The membership in force at this index.
    const membership& at(log_index index) const;

    void append(log_index index, membership members);
    void truncate_from(log_index index);
    // Removes the memberships before the one in force at this index.
    void compact_to(log_index index);
    void reset(log_index index, membership members);

private:
    struct record
    {
        log_index index = 0;
        membership members;
    };

    // Never empty; the first is from the snapshot, or has no members.
    std::vector<record> m_records{record{}};
};

} // namespace crowlink::replication::internal
