#include "crowlink/replication/change_outcome.hpp"
#include "crowlink/replication/member_change.hpp"
#include "crowlink/replication/replica_role.hpp"

namespace crowlink::replication
{

std::string_view to_string(replica_role role)
{
    switch (role)
    {
    case replica_role::follower:
        return "follower";
    case replica_role::pre_candidate:
        return "pre_candidate";
    case replica_role::candidate:
        return "candidate";
    case replica_role::leader:
        return "leader";
    case replica_role::failed:
        return "failed";
    }
    return "unknown";
}

std::string_view to_string(change_result value)
{
    switch (value)
    {
    case change_result::applied:
        return "applied";
    case change_result::conflict:
        return "conflict";
    case change_result::operation_reused:
        return "operation_reused";
    case change_result::unavailable:
        return "unavailable";
    case change_result::unknown:
        return "unknown";
    case change_result::superseded:
        return "superseded";
    }
    return "unknown";
}

std::string_view to_string(member_change_kind kind)
{
    switch (kind)
    {
    case member_change_kind::add_observer:
        return "add_observer";
    case member_change_kind::add_voter:
        return "add_voter";
    case member_change_kind::demote:
        return "demote";
    case member_change_kind::remove:
        return "remove";
    }
    return "unknown";
}

verdict to_verdict(change_result value)
{
    switch (value)
    {
    case change_result::applied:
        return verdict::ran;
    case change_result::conflict:
    case change_result::operation_reused:
    case change_result::unavailable:
    case change_result::superseded:
        return verdict::not_run;
    case change_result::unknown:
        break;
    }
    return verdict::may_have_run;
}

} // namespace crowlink::replication
