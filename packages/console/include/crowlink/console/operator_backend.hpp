#pragma once

#include "crowlink/base/error.hpp"
#include "crowlink/base/flow_key.hpp"
#include "crowlink/console/change_outcome.hpp"
#include "crowlink/console/change_request.hpp"
#include "crowlink/console/evacuation_request.hpp"
#include "crowlink/console/explain_answer.hpp"
#include "crowlink/console/history_entry.hpp"
#include "crowlink/console/member_change.hpp"
#include "crowlink/console/member_entry.hpp"
#include "crowlink/console/readiness.hpp"
#include "crowlink/console/status_report.hpp"
#include "crowlink/console/versioned_document.hpp"

#include <concepts>
#include <cstddef>
#include <string>
#include <vector>

namespace crowlink
{

// What the console needs of the system. Every function may be called from any
// thread at any time and may wait, for a bounded time, until it has an answer.
//
//   document()       the newest document that this host knows, with its age;
//                    an empty one of version 0 before the first change
//   document_at(v)   an older one; not_found if it is not kept; not asked for
//                    version 0
//   change(r)        gives the document to the log. A resend, with the same
//                    operation id and all else, gets the first answer; the
//                    same id with another change is `invalid`. `unavailable`
//                    means that it may or may not take effect later; only a
//                    resend can tell.
//   history(n)       the last n changes, the newest first; covers at least
//                    the versions up to that of an earlier document()
//   status()         who holds which version
//   members()        the control hosts
//   change_members(m)  yields the hosts after the change; `conflict` while
//                    another such change is under way; remembers its operation
//                    id as change() does
//   evacuate(r)      puts an order about a data centre in force; done once it
//   is
//                    durable, or was so already. `not_found` names the data
//                    centres that are known; after `unavailable` it may have
//                    been taken
//   explain(flow)    not_found where no service has the address
//   ready()          whether this host can serve
//   render_metrics() Prometheus text
template <class Backend>
concept operator_backend = requires(Backend& backend,
                                    const change_request& request,
                                    const member_change& members,
                                    const evacuation_request& order,
                                    const flow_key& flow,
                                    config_version version, std::size_t most)
{
    {
        backend.document()
        } -> std::same_as<result<versioned_document>>;
    {
        backend.document_at(version)
        } -> std::same_as<result<versioned_document>>;
    {
        backend.change(request)
        } -> std::same_as<result<change_outcome>>;
    {
        backend.history(most)
        } -> std::same_as<result<std::vector<history_entry>>>;
    {
        backend.status()
        } -> std::same_as<result<status_report>>;
    {
        backend.members()
        } -> std::same_as<result<std::vector<member_entry>>>;
    {
        backend.change_members(members)
        } -> std::same_as<result<std::vector<member_entry>>>;
    {
        backend.evacuate(order)
        } -> std::same_as<result<void>>;
    {
        backend.explain(flow)
        } -> std::same_as<result<explain_answer>>;
    {
        backend.ready()
        } -> std::same_as<readiness>;
    {
        backend.render_metrics()
        } -> std::same_as<std::string>;
};

} // namespace crowlink
