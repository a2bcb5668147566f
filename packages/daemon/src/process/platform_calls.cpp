#include "process/platform_calls.hpp"

#include "agent/agent_role.hpp"
#include "control/control_thread.hpp"
#include "control/document_routes.hpp"
#include "control/evacuation_order.hpp"
#include "crowlink/document/document_reader.hpp"
#include "crowlink/document/document_writer.hpp"

#include <fmt/format.h>
#include <future>
#include <memory>
#include <utility>

namespace crowlink::internal
{

namespace
{

using replication::change_result;
using outcome = replication::change_outcome;

// An operator gives up a call after a second and asks another host.
constexpr std::chrono::milliseconds operator_patience(1500);

result<void> to_result(const outcome& got)
{
    switch (got.result)
    {
    case change_result::applied:
    case change_result::superseded:
        return {};
    default:
        break;
    }
    return fail(error_kind::unavailable, "",
                fmt::format("{}; send it again", to_string(got.result)));
}

result<void> propose(control_thread& control,
                     const replication::document_change& wanted)
{
    const auto promised = std::make_shared<std::promise<outcome>>();
    std::future<outcome> reply = promised->get_future();
    const bool posted = control.post(
        [promised, wanted](control_thread::context& with)
        {
            with.documents->change(
                with.now, wanted,
                [promised](const outcome& got) { promised->set_value(got); },
                with.board);
        });
    if (!posted ||
        reply.wait_for(operator_patience) != std::future_status::ready)
    {
        return fail(error_kind::unavailable, "", "busy; send it again");
    }
    return to_result(reply.get());
}

using configuration_call = platform::http_calls::configuration_call;

// What is durable must be readable again by every control host.
result<shared_text> checked_text(document_thread& documents,
                                 const system_document& document)
{
    shared_text text = write_compact_document(document);
    checked_document read = read_document(text.str());
    if (!read)
    {
        return fail(error_kind::invalid, "", read.error().to_text());
    }
    documents.known().add(
        text, std::make_shared<const system_document>(*std::move(read)));
    return text;
}

// Reads a document when there is a turn for it.
template <class Read>
auto in_turn(document_thread& documents, const Read& read) -> decltype(read())
{
    const document_turns::turn turn =
        documents.turns().wait_for(operator_patience);
    if (!turn.owns_lock())
    {
        return fail(error_kind::unavailable, "",
                    "other changes are being read; send it again");
    }
    return read();
}

// Whether a version as high is durable, so that this one changes nothing.
bool is_superseded(control_thread& control, config_version version)
{
    const auto held = control.ask<bool>(
        [version](control_thread::context& with)
        {
            const auto& core = with.documents->core();
            return core.can_read(with.now) &&
                   version <= core.store().current_version();
        });
    return held && *held;
}

// Nothing if the change needs no place in the log.
result<std::optional<replication::document_change>>
read_change(control_thread& control, const configuration_call& read)
{
    const auto given = in_turn(control.documents(), read);
    if (!given)
    {
        return tl::unexpected(given.error());
    }
    if (is_superseded(control, given->version))
    {
        return std::nullopt;
    }
    auto text =
        in_turn(control.documents(), [&control, &given]
                { return checked_text(control.documents(), given->document); });
    if (!text)
    {
        return tl::unexpected(text.error());
    }
    replication::document_change wanted;
    wanted.operation =
        operation_id(fmt::format("given-{}", given->version.value()));
    wanted.operator_name = "platform";
    wanted.document = std::move(*text);
    wanted.given = given->version;
    wanted.routing = replication::change_routing{routes_of(given->document)};
    return wanted;
}

result<void> replace(control_thread& control, const configuration_call& read)
{
    const auto wanted = read_change(control, read);
    if (!wanted)
    {
        return tl::unexpected(wanted.error());
    }
    return *wanted ? propose(control, **wanted) : result<void>();
}

result<std::string> read(control_thread& control)
{
    using answer = result<applied_document>;
    const auto promised = std::make_shared<std::promise<answer>>();
    std::future<answer> reply = promised->get_future();
    const bool posted = control.post(
        [promised](control_thread::context& with)
        {
            with.documents->newest_document(
                with.now,
                [promised](const answer& found) { promised->set_value(found); },
                with.board);
        });
    if (!posted ||
        reply.wait_for(operator_patience) != std::future_status::ready)
    {
        return fail(error_kind::unavailable, "", "control is busy");
    }
    return reply.get().map([](const applied_document& found)
                           { return found.document->source; });
}

// Control hosts that are found by seeds are named by their addresses.
std::optional<ip_address> address_of(const result<host_id>& host)
{
    if (!host)
    {
        return std::nullopt;
    }
    const auto address = ip_address::parse(host->value());
    return address ? std::optional(*address) : std::nullopt;
}

std::optional<ip_address> leader(control_thread& control, const host_id& self)
{
    const auto asked = control.ask<host_id>(
        [](control_thread::context& with)
        { return with.documents->core().status(with.now).leader; });
    return asked && *asked == self ? std::nullopt : address_of(asked);
}

// The control host that serves this node answers operators, or knows who leads.
std::optional<ip_address> publisher(control_thread& control)
{
    return address_of(control.ask<host_id>(
        [](control_thread::context& with)
        {
            const subscriber& own = with.node->subscribed();
            return own.attached() ? own.source() : host_id();
        }));
}

} // namespace

platform::http_calls operator_calls(control_thread& control,
                                    const daemon_settings& settings)
{
    platform::http_calls calls;
    calls.where = place{settings.host.place, settings.host.region};
    calls.replace = [&control](const configuration_call& read)
    {
        return replace(control, read);
    };
    calls.evacuate = [&control, &settings](const place_id& where,
                                           bool evacuates,
                                           const platform::caller_watch& caller)
    {
        return carry_out_order(control, settings,
                               evacuation_order{where, evacuates, "platform",
                                                [&caller]
                                                {
                                                    return caller.waits();
                                                }});
    };
    calls.read = [&control]
    {
        return read(control);
    };
    calls.surer_host = [&control, self = settings.host.name]
    {
        return leader(control, self);
    };
    return calls;
}

platform::http_calls relay_calls(control_thread& control)
{
    platform::http_calls calls;
    calls.document_host = [&control]
    {
        return publisher(control);
    };
    return calls;
}

platform::http_calls upstream_calls(agent_role& agent)
{
    platform::http_calls calls;
    calls.announce = [&agent](const upstream_announcement& told)
    {
        return agent.announce(steady_clock_source().now(), told);
    };
    calls.withdraw = [&agent](const upstream_withdrawal& told) -> result<void>
    {
        agent.withdraw(steady_clock_source().now(), told);
        return {};
    };
    return calls;
}

} // namespace crowlink::internal
