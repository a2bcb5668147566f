#include "control/evacuation_order.hpp"

#include "control/control_thread.hpp"
#include "control/place_names.hpp"
#include "process/process_identity.hpp"

#include <fmt/format.h>
#include <future>
#include <memory>
#include <optional>

namespace crowlink::internal
{

namespace
{

using replication::change_result;
using outcome = replication::change_outcome;

// An operator gives up a call after a second and asks another host.
constexpr std::chrono::milliseconds operator_patience(1500);
// Orders of several operators at once overtake each other; each try is decided
// by one round of the log.
constexpr int most_tries = 8;

result<void> check_known(control_thread& control,
                         const daemon_settings& settings, const place_id& where)
{
    std::set<place_id> known;
    for (const place& each : settings.data_centres)
    {
        known.insert(each.id);
    }
    const auto named = control.ask<std::vector<place>>(
        [](control_thread::context& with)
        {
            const auto& document = with.board.document.get().document;
            return document == nullptr ? std::vector<place>()
                                       : document->places;
        });
    if (!named)
    {
        return tl::unexpected(named.error());
    }
    for (const place& each : *named)
    {
        known.insert(each.id);
    }
    if (known.count(where) != 0)
    {
        return {};
    }
    return fail(error_kind::not_found, where.value(),
                fmt::format("is no data centre; known: {}", names_of(known)));
}

// The number of the last order, where this host leads and so knows it.
result<std::uint64_t> read_revision(control_thread& control)
{
    using answer = std::optional<std::uint64_t>;
    const auto found = control.ask<answer>(
        [](control_thread::context& with) -> answer
        {
            const auto& core = with.documents->core();
            if (!core.can_read(with.now))
            {
                return std::nullopt;
            }
            return core.evacuated().revision();
        });
    if (!found)
    {
        return tl::unexpected(found.error());
    }
    if (!*found)
    {
        return fail(error_kind::unavailable, "",
                    "this host does not lead; ask the one that does");
    }
    return **found;
}

result<outcome> propose(control_thread& control,
                        const replication::evacuation_change& change)
{
    const auto promised = std::make_shared<std::promise<outcome>>();
    std::future<outcome> reply = promised->get_future();
    const bool posted = control.post(
        [promised, change](control_thread::context& with)
        {
            with.documents->order_evacuation(
                with.now, change,
                [promised](const outcome& got) { promised->set_value(got); },
                with.board);
        });
    if (!posted ||
        reply.wait_for(operator_patience) != std::future_status::ready)
    {
        return fail(error_kind::unavailable, "", "busy; send it again");
    }
    return reply.get();
}

} // namespace

// The revision is read first and the caller looked for after it. So an order
// that stood in this process, or in the socket, while its operator gave it up
// and sent another one is either dropped here or carries a revision of before
// that other one, and the log refuses it.
result<void> carry_out_order(control_thread& control,
                             const daemon_settings& settings,
                             const evacuation_order& order)
{
    if (auto known = check_known(control, settings, order.where); !known)
    {
        return known;
    }
    replication::evacuation_change change;
    change.where = order.where;
    change.evacuates = order.evacuates;
    change.operator_name = order.operator_name;
    change.ordered_at_ms = static_cast<std::int64_t>(wall_clock_ms());
    for (int tries = 0; tries < most_tries; ++tries)
    {
        const auto revision = read_revision(control);
        if (!revision)
        {
            return tl::unexpected(revision.error());
        }
        change.base = *revision;
        if (!order.is_awaited())
        {
            return fail(error_kind::unavailable, "",
                        "the caller gave the order up");
        }
        const auto got = propose(control, change);
        if (!got)
        {
            return tl::unexpected(got.error());
        }
        switch (got->result)
        {
        case change_result::applied:
        case change_result::superseded:
            return {};
        case change_result::conflict:
            continue;
        default:
            return fail(
                error_kind::unavailable, "",
                fmt::format("{}; send it again", to_string(got->result)));
        }
    }
    return fail(error_kind::unavailable, "",
                "other orders came between; send it again");
}

} // namespace crowlink::internal
