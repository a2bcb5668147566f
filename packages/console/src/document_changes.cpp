#include "document_changes.hpp"

#include "crowlink/document/document_reader.hpp"
#include "crowlink/document/document_writer.hpp"

#include <algorithm>

namespace crowlink::internal
{

namespace
{

constexpr int max_attempts = 16;

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

} // namespace

result<change_outcome> change_drain(backend_port& backend,
                                    const drain_request& request)
{
    for (int attempt = 0; attempt < max_attempts; ++attempt)
    {
        const auto current = backend.document();
        if (!current)
        {
            return tl::unexpected<error>(current.error());
        }
        const auto document = edited(current->document, request);
        if (!document)
        {
            return tl::unexpected<error>(document.error());
        }
        auto outcome = backend.change(
            {current->version, request.operation, request.author, *document});
        if (!outcome || outcome->status == change_status::accepted)
        {
            return outcome;
        }
    }
    return fail(error_kind::unavailable, "",
                "other changes were faster each time; send it again");
}

} // namespace crowlink::internal
