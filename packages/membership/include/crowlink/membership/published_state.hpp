#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/membership/change_log.hpp"
#include "crowlink/membership/digest_table.hpp"
#include "crowlink/model/service.hpp"
#include "crowlink/model/system_document.hpp"
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
    service declared;
    bool removed = false;
    std::uint64_t hash = 0;
    std::uint64_t change = 0;
};

// The state that a publisher distributes, with the latest changes in two logs.
// Urgent changes (declarations, drains, members that leave) are sent first.
class published_state
{
public:
    published_state(std::size_t change_capacity, duration tombstone_life);

    // Ignores a version that is not newer.
    void set_document(config_version version, const system_document& next);
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
    const change_log& urgent() const { return m_urgent; }
    const change_log& ordinary() const { return m_ordinary; }
    const digest_table& digests() const { return m_digests; }

private:
    struct tombstone
    {
        record_key key;
        time_point since;
    };

    void declare(const service& next);
    void undeclare(const std::set<service_id>& kept);
    void drain(const std::set<upstream_id>& drains);
    void log(const record_key& key, std::uint64_t& change, bool is_urgent);

    duration m_tombstone_life;
    config_version m_version;
    std::set<upstream_id> m_drains;
    std::map<record_key, published_record> m_records;
    std::map<service_id, published_service> m_services;
    std::uint64_t m_changes = 0;
    change_log m_urgent;
    change_log m_ordinary;
    digest_table m_digests;
    std::deque<tombstone> m_tombstones;
};

} // namespace crowlink::internal
