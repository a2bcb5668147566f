#pragma once

#include "caller_path.hpp"
#include "crowlink/requests/caller_effects.hpp"

#include <map>
#include <optional>
#include <vector>

namespace crowlink::internal
{

// The paths of a caller. A fixed number of paths is in use, in round-robin
// order. A replaced path is kept until its last request is settled. Indices
// increase and are never reused.
class caller_paths
{
public:
    explicit caller_paths(path_index count);

    std::size_t count() const { return m_active.size(); }

    // Returns a path that is in use or not yet settled, or null.
    caller_path* find(path_index path);
    caller_path& at(path_index path) { return m_paths.at(path); }
    const caller_path& at(path_index path) const { return m_paths.at(path); }
    bool in_use(path_index path) const;

    // Returns the path in use that is `step` positions after the next in turn.
    path_index at_turn(std::size_t step) const;
    void advance_turn(path_index path);
    path_index after(path_index path) const;

    // Replaces a path in use by a new one and returns the index of the new one.
    path_index replace(path_index path);

    // Settles a sequence. If it was the last one of a path no longer in use,
    // removes that path and returns true.
    bool settle(path_index path, std::uint64_t sequence);

    // Returns the earliest time at which a path may request a ticket again
    // after a refusal. Lies in the past if a path was not refused.
    time_point earliest_retry() const;

private:
    std::size_t position_of(path_index path) const;

    std::map<path_index, caller_path> m_paths;
    std::vector<path_index> m_active;
    std::size_t m_turn = 0;
    path_index m_next_index = 0;
};

} // namespace crowlink::internal
