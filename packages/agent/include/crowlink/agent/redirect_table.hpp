#pragma once

#include "crowlink/base/flow_key.hpp"
#include "crowlink/base/time.hpp"
#include "crowlink/forwarding/candidate.hpp"

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index_container.hpp>
#include <cstddef>
#include <cstdint>

namespace crowlink::internal
{

// How an agent learned where to send packets of a flow.
enum class redirect_kind : std::uint8_t
{
    // The owner published it.
    published,
    // The remaining kinds are placement hints, recorded where a packet of a
    // flow that is being placed passed. Later packets follow them, so that only
    // one agent decides.
    // On a walk in search of an owner.
    walked,
    // From the end of a walk to the first candidate.
    ended,
    // From one candidate to the next.
    asked,
    // To the candidate that was chosen.
    chosen,
};

// Where to send packets of a flow that this agent does not own.
struct redirect_entry
{
    flow_key flow;
    candidate to;
    redirect_kind kind = redirect_kind::published;
    time_point expires{};

    bool is_hint() const { return kind != redirect_kind::published; }
};

// The redirects of other agents and the hints to flows that are being placed.
// Soft state with a size limit: at the limit, the entry that expires first is
// evicted.
class redirect_table
{
public:
    explicit redirect_table(std::size_t limit) : m_limit(limit) {}

    // The flow's entry, or null if there is none or it has expired.
    const redirect_entry* find(const flow_key& flow, time_point now);

    void put(const redirect_entry& entry);
    void erase(const flow_key& flow);
    // Erases only a published redirect to this owner.
    void withdraw(const flow_key& flow, const candidate& owner);

    // Erases expired entries, a bounded number at a time.
    void expire(time_point now);

    std::size_t size() const { return m_entries.size(); }
    std::uint64_t evicted() const { return m_evicted; }

private:
    struct by_flow
    {
    };
    struct by_expiry
    {
    };
    using container = boost::multi_index_container<
        redirect_entry,
        boost::multi_index::indexed_by<
            boost::multi_index::hashed_unique<
                boost::multi_index::tag<by_flow>,
                boost::multi_index::member<redirect_entry, flow_key,
                                           &redirect_entry::flow>,
                std::hash<flow_key>>,
            boost::multi_index::ordered_non_unique<
                boost::multi_index::tag<by_expiry>,
                boost::multi_index::member<redirect_entry, time_point,
                                           &redirect_entry::expires>>>>;

    container m_entries;
    std::size_t m_limit;
    std::uint64_t m_evicted = 0;
};

} // namespace crowlink::internal
