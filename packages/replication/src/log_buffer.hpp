#pragma once

#include "crowlink/replication/log_entry.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace crowlink::replication::internal
{

// The part of the log in memory: the entries after a base position, of which
// only the index and the term are known.
class log_buffer
{
public:
    // The memory of an entry besides its payload.
    static constexpr std::size_t entry_overhead = sizeof(log_entry);

    log_index base_index() const { return m_base_index; }
    log_index last_index() const { return m_base_index + m_entries.size(); }
    term_number last_term() const;
    std::size_t bytes() const { return m_bytes; }

    // Empty if the index is outside of [base_index, last_index].
    std::optional<term_number> term_at(log_index index) const;

    // The index must be in (base_index, last_index].
    const log_entry& at(log_index index) const;

    // Entries from `first` on: at least one, and more while they fit.
    std::vector<log_entry> read(log_index first, std::size_t max_bytes) const;

    // The first index after the base whose entry has the same term as this one.
    log_index first_of_term(log_index index) const;

    // The entry must follow the last one.
    void append(log_entry entry);

    // Removes this entry and all later ones.
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
