#include "document_changes.hpp"

#include "crowlink/console/mint_operation_id.hpp"
#include "crowlink/document/document_reader.hpp"
#include "crowlink/document/document_writer.hpp"

#include <algorithm>
#include <optional>

namespace crowlink::internal
{

namespace
{

constexpr int max_attempts = 16;
// How far back a resend is recognised.
constexpr std::size_t remembered_changes = 1000;

result<system_document> edited(const system_document& document,
                               const drain_request& request)
{
    auto changed = document;
    auto& drains = changed.drains;
    drains.erase(std::remove(drains.begin(), drains.end(), request.upstream),
                 drains.end());
    if (request.action == drain_action::drain)
    {
        drains.push_back(request.upstream);
    }
    const auto checked = read_document(write_compact_document(changed));
    if (!checked)
    {
        return fail(error_kind::invalid, "", checked.error().to_text());
    }
    return *checked;
}

// Each try is another change, so it needs an id of its own; no operator's id
// holds the separator.
constexpr char try_separator = ':';

operation_id id_of_try(const operation_id& operation)
{
    return operation_id(operation.value() + try_separator +
                        mint_operation_id().value());
}

// The version that a try of the operation was accepted as, if any.
result<std::optional<config_version>>
accepted_version(backend_port& backend, const operation_id& operation)
{
    const auto history = backend.history(remembered_changes);
    if (!history)
    {
        return tl::unexpected<error>(history.error());
    }
    const auto prefix = operation.value() + try_separator;
    for (const auto& entry : *history)
    {
        if (entry.operation.value().starts_with(prefix))
        {
            return entry.version;
        }
    }
    return std::nullopt;
}

// One try; a conflict is an outcome.
result<change_outcome> try_drain(backend_port& backend,
                                 const drain_request& request)
{
    const auto current = backend.document();
    if (!current)
    {
        return tl::unexpected<error>(current.error());
    }
    // Read after the document, so that it covers every version up to it.
    const auto accepted = accepted_version(backend, request.operation);
    if (!accepted)
    {
        return tl::unexpected<error>(accepted.error());
    }
    if (*accepted)
    {
        return change_outcome{change_status::accepted, **accepted};
    }
    const auto document = edited(current->document, request);
    if (!document)
    {
        return tl::unexpected<error>(document.error());
    }
    return backend.change({current->version, id_of_try(request.operation),
                           request.author, *document});
}

} // namespace

result<change_outcome> change_drain(backend_port& backend,
                                    const drain_request& request)
{
    for (int attempt = 0; attempt < max_attempts; ++attempt)
    {
        auto outcome = try_drain(backend, request);
        if (!outcome || outcome->status == change_status::accepted)
        {
            return outcome;
        }
    }
    return fail(error_kind::unavailable, "",
                "other changes were faster each time; send it again");
}

} // namespace crowlink::internal
