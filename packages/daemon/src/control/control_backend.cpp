#include "control/control_backend.hpp"

#include "control/document_routes.hpp"
#include "control/evacuation_order.hpp"
#include "control/status_view.hpp"
#include "crowlink/document/document_reader.hpp"
#include "crowlink/document/document_writer.hpp"

#include <algorithm>
#include <future>
#include <utility>

namespace crowlink::internal
{

namespace
{

// Longer than the log takes to give up a change.
constexpr std::chrono::seconds change_patience(12);

// A version as it is held, and the age of what is known of it.
struct held_version
{
    config_version version;
    shared_text text;
    duration age{};
};

result<versioned_document> read_version(document_turns& turns,
                                        const held_version& held)
{
    if (held.version == config_version())
    {
        return versioned_document{{}, {}, held.age};
    }
    const document_turns::turn turn = turns.wait();
    checked_document read = read_document(held.text.str());
    if (!read)
    {
        return fail(error_kind::storage, "", read.error().to_text());
    }
    return versioned_document{held.version, *std::move(read), held.age};
}

result<change_outcome> to_console(const replication::change_outcome& outcome)
{
    using replication::change_result;
    switch (outcome.result)
    {
    case change_result::applied:
        return change_outcome{change_status::accepted, outcome.version};
    case change_result::conflict:
        return change_outcome{change_status::conflict, outcome.version};
    case change_result::superseded:
        return change_outcome{change_status::superseded, outcome.version};
    case change_result::operation_reused:
        return fail(error_kind::invalid, "operation", outcome.message);
    case change_result::unavailable:
        return fail(error_kind::unavailable, "",
                    "not taken, it did not run: " + outcome.message);
    case change_result::unknown:
        break;
    }
    return fail(error_kind::unavailable, "",
                "it may have run; send the same operation again");
}

member_role to_console(replication::member_role role)
{
    switch (role)
    {
    case replication::member_role::voter:
        return member_role::voter;
    case replication::member_role::joining:
        return member_role::learner;
    case replication::member_role::observer:
        break;
    }
    return member_role::observer;
}

// Waits for a reply from the control thread.
template <class Value>
result<Value> wait_for(std::future<Value> reply)
{
    if (reply.wait_for(change_patience) != std::future_status::ready)
    {
        return fail(error_kind::unavailable, "",
                    "it may have run; send the same operation again");
    }
    return reply.get();
}

} // namespace

control_backend::control_backend(const daemon_settings& settings,
                                 control_thread& control,
                                 std::function<std::string()> render)
    : m_settings(settings), m_control(control), m_render(std::move(render))
{
}

result<versioned_document> control_backend::document()
{
    return m_control
        .ask<held_version>(
            [](context& with)
            {
                const auto& core = with.documents->core();
                const duration age = core.status(with.now).age;
                const auto* current = core.store().current();
                return current == nullptr
                           ? held_version{{}, {}, age}
                           : held_version{current->version, current->document,
                                          age};
            })
        .and_then(
            [this](const held_version& held)
            { return read_version(m_control.documents().turns(), held); });
}

result<versioned_document> control_backend::document_at(config_version version)
{
    using answer = result<held_version>;
    return m_control
        .ask<answer>(
            [version](context& with) -> answer
            {
                const auto* found =
                    with.documents->core().store().find(version);
                if (found == nullptr)
                {
                    return fail(error_kind::not_found, "version",
                                "is not kept here");
                }
                return held_version{found->version, found->document, {}};
            })
        .and_then([](answer found) { return found; })
        .and_then(
            [this](const held_version& held)
            { return read_version(m_control.documents().turns(), held); });
}

result<change_outcome> control_backend::change(const change_request& request)
{
    using outcome = replication::change_outcome;
    const auto promised = std::make_shared<std::promise<outcome>>();
    std::future<outcome> reply = promised->get_future();
    replication::document_change wanted{
        request.base,
        request.operation,
        request.author,
        write_document(request.document),
        request.given,
        replication::change_routing{routes_of(request.document)}};
    const bool posted = m_control.post(
        [promised, wanted](context& with)
        {
            with.documents->change(
                with.now, wanted,
                [promised](const outcome& got) { promised->set_value(got); },
                with.board);
        });
    if (!posted)
    {
        return fail(error_kind::unavailable, "", "busy; it did not run");
    }
    return wait_for(std::move(reply))
        .and_then([](const outcome& got) { return to_console(got); });
}

result<std::vector<history_entry>> control_backend::history(std::size_t most)
{
    using answer = std::vector<history_entry>;
    return m_control.ask<answer>(
        [most](context& with)
        {
            answer entries;
            const auto& versions = with.documents->core().store().history();
            for (auto each = versions.rbegin();
                 each != versions.rend() && entries.size() < most; ++each)
            {
                entries.push_back(history_entry{each->version, each->operation,
                                                each->operator_name, 0});
            }
            return entries;
        });
}

result<status_report> control_backend::status()
{
    return m_control.ask<status_report>([](context& with)
                                        { return make_status(with); });
}

result<std::vector<member_entry>> control_backend::members()
{
    return m_control.ask<std::vector<member_entry>>(
        [this](context& with) { return list_members(with); });
}

std::vector<member_entry>
control_backend::list_members(const context& with) const
{
    std::vector<member_entry> entries;
    const auto status = with.documents->core().status(with.now);
    constexpr std::chrono::seconds lately(5);
    for (const replication::member_status& each : status.members)
    {
        member_entry entry;
        entry.host = each.who.host;
        entry.role = to_console(each.who.role);
        entry.leader = each.who.host == status.leader;
        entry.reachable =
            each.who.host == status.self || (each.age && *each.age < lately);
        for (const control_peer& peer : m_settings.control->peers)
        {
            if (peer.host == entry.host)
            {
                entry.address = peer.address;
            }
        }
        entries.push_back(entry);
    }
    return entries;
}

result<void>
control_backend::change_one_member(const replication::member_change& change)
{
    const auto promised = std::make_shared<std::promise<result<void>>>();
    std::future<result<void>> reply = promised->get_future();
    const bool posted = m_control.post(
        [promised, change](context& with)
        {
            with.documents->change_members(
                with.now, change,
                [promised](const result<void>& got)
                { promised->set_value(got); },
                with.board);
        });
    if (!posted)
    {
        return fail(error_kind::unavailable, "", "busy; it did not run");
    }
    return wait_for(std::move(reply))
        .and_then([](result<void> got) { return got; });
}

// The addresses of control hosts come from the settings of each; the log names
// the hosts alone. A replacement takes two calls: the first admits the new
// host, which learns and then votes; the second, once it votes, removes the old
// one.
result<std::vector<member_entry>>
control_backend::change_members(const member_change& change)
{
    using replication::member_change_kind;
    replication::member_change wanted{member_change_kind::add_voter,
                                      change.host, replication::disk_id()};
    if (change.action == member_action::remove)
    {
        wanted.kind = member_change_kind::remove;
    }
    else if (change.action == member_action::replace && is_voter(change.host))
    {
        wanted.kind = member_change_kind::remove;
        wanted.host = change.replaced;
    }
    const result<void> done = change_one_member(wanted);
    if (!done)
    {
        return tl::unexpected(done.error());
    }
    return members();
}

bool control_backend::is_voter(const host_id& host)
{
    const result<std::vector<member_entry>> known = members();
    return known && std::any_of(known->begin(), known->end(),
                                [&host](const member_entry& each) {
                                    return each.host == host &&
                                           each.role == member_role::voter;
                                });
}

result<void> control_backend::evacuate(const evacuation_request& order)
{
    return carry_out_order(m_control, m_settings,
                           evacuation_order{order.where, order.evacuates,
                                            order.author,
                                            []
                                            {
                                                return true;
                                            }});
}

result<explain_answer> control_backend::explain(const flow_key& flow)
{
    using answer = result<explain_answer>;
    return m_control
        .ask<answer>([flow](context& with)
                     { return make_explanation(with, flow); })
        .and_then([](answer found) { return found; });
}

readiness control_backend::ready()
{
    const auto reason = m_control.ask<std::string>(
        [](context& with) -> std::string
        {
            const auto status = with.documents->core().status(with.now);
            if (!status.storage_error.empty())
            {
                return status.storage_error;
            }
            return status.leader.value().empty() ? "no leader is known" : "";
        });
    if (!reason)
    {
        return readiness{false, to_string(reason.error())};
    }
    return readiness{reason->empty(), *reason};
}

} // namespace crowlink::internal
