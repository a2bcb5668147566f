#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/ids.hpp"

#include <compare>
#include <cstdint>

namespace crowlink
{

enum class upstream_state : std::uint8_t
{
    // Takes new flows.
    ready,
    // Keeps its flows and takes no new one: drained by an operator, or leaving
    // by its own announcement.
    draining,
    // Ended, or its lease ran out.
    gone,
    // Only in views: its lease ran out, and nobody knows whether it ended. It
    // takes no new flow, and those that it has are not given up.
    silent,
    // Only in views: silent, and out of this host's own reach for so long that
    // its flows are given up here.
    unreachable,
};

// Whether nothing is heard of an upstream in this state that may live on.
inline bool is_silent_state(upstream_state state)
{
    return state == upstream_state::silent ||
           state == upstream_state::unreachable;
}

// What an agent announces of its upstream. Of two records of one upstream, the
// one with the higher (incarnation, sequence) is the newer, wherever it comes
// from: the agent alone writes them, so no agreement is needed.
struct upstream_record
{
    upstream_id id;
    service_id service;
    incarnation started;
    std::uint64_t sequence = 0;
    // Where the agent takes packets.
    endpoint agent;
    place_id where;
    // The upstream's share relative to others of its service, 1 to 1000.
    std::uint32_t weight = 100;
    upstream_state state = upstream_state::ready;
    // Only of one that is gone: its lease ran out. It did not say that it
    // ends, so it may live on.
    bool expired = false;

    friend auto operator<=>(const upstream_record&,
                            const upstream_record&) = default;
};

// Whether it ended or its lease ran out.
inline bool is_gone(const upstream_record& record)
{
    return record.state == upstream_state::gone;
}

// Whether it ended by its own word, so that nothing more is to be told of it.
inline bool has_ended(const upstream_record& record)
{
    return is_gone(record) && !record.expired;
}

// Whether two records of one upstream are of one version.
inline bool same_version(const upstream_record& first,
                         const upstream_record& second)
{
    return first.started == second.started && first.sequence == second.sequence;
}

// Whether the first record is newer than the second one of the same upstream.
inline bool newer(const upstream_record& first, const upstream_record& second)
{
    if (first.started != second.started)
    {
        return first.started > second.started;
    }
    return first.sequence > second.sequence;
}

} // namespace crowlink
