#pragma once

#include "crowlink/base/error.hpp"
#include "crowlink/replication/change_outcome.hpp"
#include "crowlink/replication/document_change.hpp"
#include "crowlink/replication/document_version.hpp"
#include "crowlink/replication/route_history.hpp"
#include "crowlink/replication/store_limits.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace crowlink::replication
{

// The state machine on the replicated log: the versions of one document. It is
// deterministic: hosts that apply the same changes in the same order give the
// same answers.
class document_store
{
public:
    explicit document_store(store_limits limits = {}, store_rules rules = {});

    // Applies a committed change, which becomes the next version if it is based
    // on the current one. A repeated operation gets its first answer.
    change_outcome apply(const document_change& change);

    // The version in force; 0 before the first.
    config_version current_version() const { return m_current; }

    // Null before the first version.
    const document_version* current() const;

    // Null if the version does not exist or its document is no longer kept.
    const document_version* find(config_version version) const;

    // Oldest first; the last version is in force. The documents of old versions
    // may have been dropped; their operation and operator name are kept.
    const std::deque<document_version>& history() const { return m_history; }

    // Where the addresses of the version in force lead and led before.
    const route_history& routing() const { return m_routing; }

    // The recorded answer to this change's operation, if it is still kept.
    std::optional<change_outcome>
    find_answer(const document_change& change) const;

    // Serializes the whole state for a snapshot, and restores it.
    std::string save() const;
    result<void> load(std::string_view bytes);

private:
    struct answer
    {
        std::uint64_t change_hash = 0;
        change_outcome outcome;
    };

    change_outcome decide(const document_change& change);
    void record_answer(const document_change& change,
                       const change_outcome& outcome);
    void add_version(const document_change& change, config_version version);
    void trim_history();

    store_limits m_limits;
    store_rules m_rules;
    config_version m_current;
    std::deque<document_version> m_history;
    std::size_t m_history_bytes = 0;
    route_history m_routing;
    std::unordered_map<operation_id, answer> m_answers;
    // In the order in which they were answered, oldest first.
    std::deque<operation_id> m_answer_order;
};

// Encodes a document change as the payload of a log entry.
std::string encode_change(const document_change& change);

} // namespace crowlink::replication
