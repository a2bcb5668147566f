#pragma once

#include "caller_path.hpp"
#include "crowlink/requests/caller_effects.hpp"

#include <map>
#include <optional>
#include <vector>

namespace crowlink::internal
{

// The paths of a caller. A fixed number are in use and take turns; one that
// was replaced is kept until its last request is settled. Indices rise and are
// never reused.
class caller_paths
{
public:
    explicit caller_paths(path_index count);

    std::size_t count() const { return m_active.size(); }

    // A path that is in use or not yet settled; null for any other index.
    caller_path* find(path_index path);
    caller_path& at(path_index path) { return m_paths.at(path); }
    const caller_path& at(path_index path) const { return m_paths.at(path); }
    bool in_use(path_index path) const;

    // The paths in use in turn, from the one after that of the last request.
    path_index at_turn(std::size_t step) const;
    void advance_turn(path_index path);
    path_index after(path_index path) const;

    // Puts a new path in the place of one that is in use.
    path_index replace(path_index path);

    // Settles a sequence and yields whether it was the last one of a path that
    // is no longer in use; that path is then forgotten.
    bool settle(path_index path, std::uint64_t sequence);

    // When the first path may be asked again of all that were refused a
    // ticket; in the past if one was not refused.
    time_point earliest_retry() const;

private:
    std::size_t position_of(path_index path) const;

    std::map<path_index, caller_path> m_paths;
    std::vector<path_index> m_active;
    std::size_t m_turn = 0;
    path_index m_next_index = 0;
};

} // namespace crowlink::internal
