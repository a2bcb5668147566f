#pragma once

#include "crowlink/base/error.hpp"
#include "crowlink/replication/change_outcome.hpp"
#include "crowlink/replication/document_change.hpp"
#include "crowlink/replication/document_version.hpp"
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

// The state machine on the replicated log: the versions of one document. It
// gives the same answers on every host that applies the same changes in the
// same order.
class document_store
{
public:
    explicit document_store(store_limits limits = {}, store_rules rules = {});

    // Applies a committed change: makes the next version if the change was made
    // from the current one. An operation that came before gets its first
    // answer.
    change_outcome apply(const document_change& change);

    // The version in force; 0 before the first.
    config_version current_version() const { return m_current; }

    // Null before the first version.
    const document_version* current() const;

    // Null where the version was never there or its document is no longer kept.
    const document_version* find(config_version version) const;

    // Oldest first; the last is the one in force. Of old versions the document
    // may be gone, but who made them stays, so that resends are recognised.
    const std::deque<document_version>& history() const { return m_history; }

    // The answer that this change's operation got, if it is remembered.
    std::optional<change_outcome> recall(const document_change& change) const;

    // The whole state as bytes for a snapshot, and back.
    std::string save() const;
    result<void> load(std::string_view bytes);

private:
    struct answer
    {
        std::uint64_t change_hash = 0;
        change_outcome outcome;
    };

    change_outcome decide(const document_change& change);
    void remember(const document_change& change, const change_outcome& outcome);
    void make_version(const document_change& change, config_version version);
    void trim_history();

    store_limits m_limits;
    store_rules m_rules;
    config_version m_current;
    std::deque<document_version> m_history;
    std::size_t m_history_bytes = 0;
    std::unordered_map<operation_id, answer> m_answers;
    // In the order of their answers, oldest first.
    std::deque<operation_id> m_order;
};

// The payload of a log entry that holds a change.
std::string encode_change(const document_change& change);

} // namespace crowlink::replication
