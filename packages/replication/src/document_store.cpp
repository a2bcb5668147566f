#include "crowlink/replication/document_store.hpp"

#include "route_codec.hpp"
#include "wire_convert.hpp"

#include "crowlink/base/hash.hpp"

#include <utility>

namespace crowlink::replication
{

namespace
{

std::uint64_t hash_of(const document_change& change)
{
    return stable_hash(change.document.str(), change.base.value());
}

bool has_explicit_version(const document_change& change)
{
    return change.given != config_version();
}

std::size_t size_of(const document_version& version)
{
    return sizeof(document_version) + version.operation.value().size() +
           version.operator_name.size() + version.document.size();
}

} // namespace

document_store::document_store(store_limits limits, store_rules rules)
    : m_limits(limits), m_rules(rules)
{
}

change_outcome document_store::apply(const document_change& change)
{
    if (std::optional<change_outcome> first = find_answer(change))
    {
        return *first;
    }
    change_outcome outcome = decide(change);
    if (outcome.result == change_result::applied)
    {
        add_version(change, outcome.version);
    }
    // The version number alone identifies retries of an explicit version.
    if (!has_explicit_version(change))
    {
        record_answer(change, outcome);
    }
    return outcome;
}

std::optional<change_outcome>
document_store::find_answer(const document_change& change) const
{
    if (has_explicit_version(change))
    {
        if (change.given > m_current)
        {
            return std::nullopt;
        }
        return change_outcome{change_result::superseded, m_current, {}};
    }
    const auto known = m_answers.find(change.operation);
    if (!m_rules.deduplicate || known == m_answers.end())
    {
        return std::nullopt;
    }
    if (known->second.change_hash != hash_of(change))
    {
        return change_outcome{
            change_result::operation_reused, m_current,
            "the operation id was used for a different change"};
    }
    return known->second.outcome;
}

change_outcome document_store::decide(const document_change& change)
{
    if (has_explicit_version(change))
    {
        return change_outcome{change_result::applied, change.given, {}};
    }
    if (change.base != m_current)
    {
        return change_outcome{change_result::conflict, m_current, {}};
    }
    return change_outcome{
        change_result::applied, config_version(m_current.value() + 1), {}};
}

void document_store::add_version(const document_change& change,
                                 config_version version)
{
    m_current = version;
    m_history.push_back(document_version{
        m_current, change.operation, change.operator_name, change.document});
    m_history_bytes += size_of(m_history.back());
    trim_history();
    if (change.routing)
    {
        m_routing.advance(*change.routing);
    }
}

void document_store::record_answer(const document_change& change,
                                   const change_outcome& outcome)
{
    const auto [position, inserted] = m_answers.insert_or_assign(
        change.operation, answer{hash_of(change), outcome});
    if (inserted)
    {
        m_answer_order.push_back(position->first);
    }
    while (m_answer_order.size() > m_limits.remembered_answers)
    {
        m_answers.erase(m_answer_order.front());
        m_answer_order.pop_front();
    }
}

void document_store::trim_history()
{
    while (m_history.size() > 1 && m_history.size() > m_limits.history_versions)
    {
        m_history_bytes -= size_of(m_history.front());
        m_history.pop_front();
    }
    for (document_version& one : m_history)
    {
        const bool is_current = &one == &m_history.back();
        if (is_current || m_history_bytes <= m_limits.history_bytes)
        {
            return;
        }
        m_history_bytes -= one.document.size();
        one.document = {};
    }
}

const document_version* document_store::current() const
{
    return m_history.empty() ? nullptr : &m_history.back();
}

const document_version* document_store::find(config_version version) const
{
    for (const document_version& one : m_history)
    {
        if (one.version == version)
        {
            const bool is_kept = !one.document.empty() || &one == current();
            return is_kept ? &one : nullptr;
        }
    }
    return nullptr;
}

std::string document_store::save() const
{
    internal::wire::StoreState out;
    for (const document_version& one : m_history)
    {
        internal::wire::StoredVersion* stored = out.add_history();
        stored->set_version(one.version.value());
        stored->set_operation(one.operation.value());
        stored->set_operator_name(one.operator_name);
        stored->set_document(one.document.str());
    }
    for (const operation_id& operation : m_answer_order)
    {
        const answer& known = m_answers.at(operation);
        internal::wire::StoredAnswer* stored = out.add_answers();
        stored->set_operation(operation.value());
        stored->set_change_hash(known.change_hash);
        *stored->mutable_outcome() = internal::to_wire(known.outcome);
    }
    internal::write_history(m_routing, *out.mutable_routing());
    return out.SerializeAsString();
}

result<void> document_store::load(std::string_view bytes)
{
    internal::wire::StoreState in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    {
        return fail(error_kind::storage, "snapshot",
                    "its document store does not parse");
    }
    document_store loaded(m_limits, m_rules);
    for (auto& stored : *in.mutable_history())
    {
        loaded.m_history.push_back(document_version{
            config_version(stored.version()), operation_id(stored.operation()),
            stored.operator_name(), std::move(*stored.mutable_document())});
        loaded.m_history_bytes += size_of(loaded.m_history.back());
        loaded.m_current = loaded.m_history.back().version;
    }
    // A snapshot may come from a host with other limits.
    loaded.trim_history();
    for (const auto& stored : in.answers())
    {
        const operation_id operation(stored.operation());
        loaded.m_answers[operation] =
            answer{stored.change_hash(), internal::from_wire(stored.outcome())};
        loaded.m_answer_order.push_back(operation);
    }
    loaded.m_routing = internal::read_history(in.routing());
    *this = std::move(loaded);
    return {};
}

std::string encode_change(const document_change& change)
{
    return internal::to_wire(change).SerializeAsString();
}

} // namespace crowlink::replication
