#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/membership/change_log.hpp"
#include "crowlink/membership/digest_table.hpp"
#include "crowlink/membership/document_publication.hpp"
#include "crowlink/model/upstream_record.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <set>

namespace crowlink::internal
{

// A record as it is published to nodes.
struct published_record
{
    upstream_record record;
    bool drained = false;
    std::uint64_t hash = 0;
    // The number of its latest change.
    std::uint64_t change = 0;
};

// A service's declaration as it is published to nodes.
struct published_service
{
    // Null once it is removed.
    std::shared_ptr<const declaration> held;
    // The numbers of its latest change, and of the latest one that share
    // changes do not tell.
    std::uint64_t change = 0;
    std::uint64_t fixed_change = 0;

    bool removed() const { return held == nullptr; }
    // Zero once it is removed.
    std::uint64_t hash() const { return removed() ? 0 : held->hash; }
};

// The state that a publisher distributes, with the latest changes in three
// logs. Urgent changes (declarations, drains, members that leave) are sent
// first, then changed shares.
class published_state
{
public:
    using record_changes = change_log<logged_change>;
    using share_changes = change_log<share_key>;

    published_state(std::size_t change_capacity,
                    std::size_t share_change_capacity, duration tombstone_life);

    // Ignores a version that is not newer.
    void set_publication(publication_pointer next);
    // The last publication, or null.
    const publication_pointer& publication() const { return m_publication; }
    void set_record(time_point now, const upstream_record& record);
    // Drops gone records that are older than the tombstone life.
    void purge(time_point now);

    config_version version() const { return m_version; }
    const std::map<record_key, published_record>& records() const
    {
        return m_records;
    }
    const std::map<service_id, published_service>& services() const
    {
        return m_services;
    }
    const record_changes& urgent() const { return m_urgent; }
    const record_changes& ordinary() const { return m_ordinary; }
    const share_changes& shares() const { return m_shares; }
    // Whether no later entry is about the same share.
    bool is_latest_share(std::uint64_t position) const
    {
        return m_latest_shares.at(m_shares.at(position)) == position;
    }
    // The last version in which the terms of known shares changed.
    std::uint64_t terms_version() const
    {
        return m_publication == nullptr ? 0 : m_publication->terms_version;
    }
    const digest_table& digests() const { return m_digests; }

private:
    struct tombstone
    {
        record_key key;
        time_point since;
    };

    void set_changed(const document_publication& next);
    void set_all(const document_publication& next);
    void declare(service_id id, const std::shared_ptr<const declaration>& next,
                 bool are_shares_told);
    void undeclare(service_id id, published_service& held);
    void drain(const std::set<upstream_id>& drains);
    void log_share(const share_key& key);
    void log(const record_key& key, std::uint64_t& change, bool is_urgent);

    duration m_tombstone_life;
    config_version m_version;
    publication_pointer m_publication;
    std::set<upstream_id> m_drains;
    std::map<record_key, published_record> m_records;
    std::map<service_id, published_service> m_services;
    std::uint64_t m_changes = 0;
    record_changes m_urgent;
    record_changes m_ordinary;
    share_changes m_shares;
    // The position of the latest entry of each share that is in the log.
    std::map<share_key, std::uint64_t> m_latest_shares;
    digest_table m_digests;
    std::deque<tombstone> m_tombstones;
};

} // namespace crowlink::internal
