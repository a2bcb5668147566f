#pragma once

#include "crowlink/replication/log_entry.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace crowlink::replication::internal
{

// The part of the log that is in memory: the entries after a base, of which
// only index and term are known.
class log_buffer
{
public:
    // What an entry takes besides its payload.
    static constexpr std::size_t entry_overhead = sizeof(log_entry);

    log_index base_index() const { return m_base_index; }
    log_index last_index() const { return m_base_index + m_entries.size(); }
    term_number last_term() const;
    std::size_t bytes() const { return m_bytes; }

    // Empty outside of base .. last.
    std::optional<term_number> term_at(log_index index) const;

    // The index must be after the base and not beyond the last.
    const log_entry& at(log_index index) const;

    // Entries from `first` on, at least one and then no more than fit.
    std::vector<log_entry> read(log_index first, std::size_t max_bytes) const;

    // The first index after the base that has the same term as this one.
    log_index first_of_term(log_index index) const;

    // The entry must come right after the last one.
    void append(log_entry entry);

    // Drops this entry and all that follow.
    void truncate_from(log_index index);

    // Moves the base up to this index.
    void compact_to(log_index index);

    // Empties the log and sets the base.
    void reset(log_index index, term_number term);

private:
    static std::size_t size_of(const log_entry& entry);

    log_index m_base_index = 0;
    term_number m_base_term = 0;
    std::deque<log_entry> m_entries;
    std::size_t m_bytes = 0;
};

} // namespace crowlink::replication::internal
