#include "control/document_controller.hpp"

#include "control/place_names.hpp"
#include "crowlink/replication/message_codec.hpp"

#include <algorithm>
#include <set>
#include <utility>
#include <variant>

namespace crowlink::internal
{

namespace
{

// Well below the second in which a host says hello again, so that a repair is
// not late for it, and far above a round trip, so that a change is settled
// before the next one is decided.
constexpr duration policy_interval = std::chrono::milliseconds(250);

// Several times the time for which the control thread waits at the most.
constexpr duration longest_usual_round = std::chrono::milliseconds(100);

// Callers that wait for a document to be read.
constexpr std::size_t most_waiting = 256;

// Where seeds name the control hosts, some of them may have no disk.
replication::founding_settings to_founding(const control_role_settings& control,
                                           const seed_settings& seeds)
{
    replication::founding_settings founding;
    for (const endpoint& seed : seeds.hosts)
    {
        founding.seeds.emplace_back(seed.address.to_string());
    }
    const auto voters = static_cast<std::size_t>(
        std::count_if(control.peers.begin(), control.peers.end(),
                      [](const control_peer& peer) { return peer.voter; }));
    // More voters than seeds would be waited for in vain where there are fewer
    // disks; those that the losses ask for are added once the log is there.
    founding.wanted_voters = voters;
    founding.least_voters =
        std::min<std::size_t>(voters, 2 * control.losses_borne.value_or(0) + 1);
    return founding;
}

replication::replica_settings to_core(const daemon_settings& settings)
{
    replication::replica_settings core;
    core.self = settings.host.name;
    // All times keep their proportion to the election timeout.
    const duration usual = core.election_timeout;
    const duration election =
        std::chrono::milliseconds(settings.control->election_ms);
    const auto scaled = [&](duration time)
    {
        const double ratio = static_cast<double>(election.count()) /
                             static_cast<double>(usual.count());
        return std::chrono::duration_cast<duration>(time * ratio);
    };
    core.election_timeout = election;
    core.heartbeat_interval = scaled(core.heartbeat_interval);
    core.election_spread = scaled(core.election_spread);
    core.storage_stall_timeout = scaled(core.storage_stall_timeout);
    for (const control_peer& peer : settings.control->peers)
    {
        if (peer.host != settings.host.name)
        {
            core.peers.push_back(peer.host);
        }
        if (peer.voter && settings.control->may_found && !settings.seeds)
        {
            core.founding_voters.push_back(peer.host);
        }
    }
    if (settings.control->may_found && settings.seeds)
    {
        core.founding = to_founding(*settings.control, *settings.seeds);
    }
    return core;
}

replication::store_limits to_limits(const daemon_settings& settings)
{
    using seconds = std::chrono::duration<double>;
    using milliseconds = std::chrono::milliseconds;
    replication::store_limits limits;
    limits.flow_life = std::chrono::duration_cast<milliseconds>(
        seconds(settings.control->flow_seconds));
    return limits;
}

} // namespace

document_controller::document_controller(const daemon_settings& settings,
                                         storage_thread& storage,
                                         document_thread& reader,
                                         control_links& links, log_sink& log,
                                         seeded_random random, time_point now)
    : m_storage(storage)
    , m_reader(reader)
    , m_links(links)
    , m_log(log)
    , m_core(to_core(settings), storage.take_restored(), now, random,
             to_limits(settings))
    , m_slow_write(std::chrono::milliseconds(settings.control->election_ms))
    , m_takes_relayed(settings.is_network_trusted && settings.seeds)
{
    if (settings.control->losses_borne)
    {
        replication::voter_policy_settings policy;
        policy.tolerated_failures = *settings.control->losses_borne;
        m_voters.emplace(policy);
    }
}

// The members that the log names are reached before the first message to them,
// also before the seeds are known: what is sent to a host that is not reached
// is lost, and a request for votes is sent again only after an election
// timeout.
void document_controller::start(time_point now, blackboard& board)
{
    m_now = now;
    carry_out(m_core.start(), board);
    for (const replication::member_status& one : m_core.status(now).members)
    {
        m_links.reach_peer(one.who.host);
    }
}

void document_controller::handle(time_point now, const inbound_message& message,
                                 blackboard& board)
{
    m_now = now;
    auto decoded = replication::decode_message(message.bytes);
    // A hello may be passed on by a host that is not part of the log.
    const bool is_relayed =
        decoded && m_takes_relayed &&
        std::holds_alternative<replication::hello>(decoded->body);
    if (!decoded || (decoded->from != message.sender && !is_relayed))
    {
        m_log.write(log_line(log_level::warning, "replication_message_refused")
                        .field("sender", message.sender.value()));
        return;
    }
    m_links.reach_peer(decoded->from);
    carry_out(
        m_core.handle(now, replication::message_received{std::move(*decoded)}),
        board);
}

void document_controller::advance(time_point now, blackboard& board)
{
    m_now = now;
    take_writes(now, board);
    note_pause(now, board);
    carry_out(m_core.handle(now, replication::tick{}), board);
    take_documents(board);
    const replication::replica_status status = m_core.status(now);
    board.document_age.set(status.document_age);
    board.document_lag.set(document_lag(now));
    follow_members(status, board);
    keep_voters(now, status, board);
}

// What others sent while this thread did not run has been taken, or waits in
// the sockets: the log must not take that time for their silence.
void document_controller::note_pause(time_point now, blackboard& board)
{
    const duration round = now - m_last_round.value_or(now);
    m_last_round = now;
    if (round > longest_usual_round)
    {
        carry_out(m_core.handle(
                      now, replication::held_up{round - longest_usual_round}),
                  board);
    }
}

// A version that is committed and not yet read is newer than the one that nodes
// are given, however lately that was confirmed.
duration document_controller::document_lag(time_point now) const
{
    return m_unread.empty() ? duration() : now - m_unread.front().since;
}

void document_controller::take_writes(time_point now, blackboard& board)
{
    while (const auto done = m_storage.next())
    {
        note_write(done->took);
        if (done->failure)
        {
            m_failed = true;
            m_log.write(log_line(log_level::error, "storage_failed")
                            .field("error", to_string(*done->failure)));
            carry_out(
                m_core.handle(now, replication::storage_failed{*done->failure}),
                board);
            continue;
        }
        carry_out(m_core.handle(now, replication::storage_done{done->sequence}),
                  board);
    }
}

void document_controller::newest_document(time_point now, document_reply reply,
                                          const blackboard& board)
{
    const replication::document_version* current = m_core.store().current();
    if (!m_core.can_read(now) || current == nullptr)
    {
        reply(fail(error_kind::unavailable, "",
                   "not sure which version is the newest"));
        return;
    }
    const applied_document& applied = board.document.get();
    if (applied.version == current->version)
    {
        reply(applied);
        return;
    }
    if (m_waiting.size() == most_waiting)
    {
        reply(fail(error_kind::unavailable, "", "too many wait"));
        return;
    }
    m_waiting.push_back(waiting_caller{current->version, std::move(reply)});
}

void document_controller::answer_waiting(config_version version,
                                         const result<applied_document>& found)
{
    for (const waiting_caller& each : m_waiting)
    {
        if (each.version <= version)
        {
            each.reply(found);
        }
    }
    std::erase_if(m_waiting, [version](const waiting_caller& each)
                  { return each.version <= version; });
}

void document_controller::take_documents(blackboard& board)
{
    while (auto read = m_reader.next())
    {
        const document_thread::committed_document& from = read->committed;
        while (!m_unread.empty() && m_unread.front().version <= from.version)
        {
            m_unread.pop_front();
        }
        if (read->applied.document == nullptr)
        {
            // Only checked documents enter the log; another program version
            // may have other rules. The version before stays in force here.
            m_log.write(log_line(log_level::error, "document_unreadable")
                            .field("version", from.version.value())
                            .field("errors", read->errors));
            answer_waiting(from.version,
                           fail(error_kind::storage, "", read->errors));
            continue;
        }
        m_read_times.add(read->took);
        using std::chrono::milliseconds;
        const auto took = std::chrono::duration_cast<milliseconds>(read->took);
        const auto waited =
            std::chrono::duration_cast<milliseconds>(read->waited);
        m_log.write(
            log_line(log_level::info, "document_applied")
                .field("version", from.version.value())
                .field("operation", from.operation.value())
                .field("operator", from.operator_name)
                .field("read_ms", took.count())
                .field("waited_ms", waited.count())
                .field("routes", read->applied.document->routes.size())
                .field("changed_shares",
                       read->applied.publication->changed_shares.size()));
        answer_waiting(from.version, read->applied);
        board.document.set(std::move(read->applied));
    }
}

// Votes and changes wait for the writes of a quorum. At most one line for each
// write, so that the volume is bounded by the writes' length.
void document_controller::note_write(duration took)
{
    m_write_times.add(took);
    if (took >= m_slow_write)
    {
        const auto length =
            std::chrono::duration_cast<std::chrono::milliseconds>(took);
        m_log.write(log_line(log_level::warning, "storage_slow")
                        .field("took_ms", length.count()));
    }
}

// Hosts join at addresses that no settings name. Those that say hello are
// reached too, so that they can be answered before they are members.
void document_controller::follow_members(
    const replication::replica_status& status, blackboard& board)
{
    std::vector<host_id> members;
    for (const replication::member_status& one : status.members)
    {
        members.push_back(one.who.host);
    }
    const bool is_new = members != board.members.get();
    if (!is_new && !m_seeds.changed(board.seeds))
    {
        return;
    }
    board.members.set(members);
    const std::vector<host_id>& seeds = board.seeds.get();
    std::set<host_id> all(members.begin(), members.end());
    all.insert(seeds.begin(), seeds.end());
    for (const replication::non_member_status& one : status.non_members)
    {
        all.insert(one.host);
    }
    all.erase(status.self);
    if (seeds.empty())
    {
        // The settings name all hosts.
        return;
    }
    for (const host_id& host : all)
    {
        m_links.reach_peer(host);
    }
    m_links.keep_peers(all);
    m_core.set_peers(std::vector<host_id>(all.begin(), all.end()));
}

// The policy's changes need no answer: what was refused or lost is decided
// anew from the next status.
void document_controller::keep_voters(time_point now,
                                      const replication::replica_status& status,
                                      blackboard& board)
{
    if (!m_voters || now < m_next_policy)
    {
        return;
    }
    m_next_policy = now + policy_interval;
    const auto wanted = m_voters->decide(status);
    if (!wanted)
    {
        return;
    }
    change_members(
        now, *wanted,
        [this, change = *wanted](const result<void>& outcome)
        {
            m_log.write(
                log_line(log_level::info, "member_change")
                    .field("kind", replication::to_string(change.kind))
                    .field("host", change.host.value())
                    .field("disk", change.disk.value())
                    .field("outcome",
                           outcome ? "logged" : to_string(outcome.error())));
        },
        board);
}

void document_controller::change(time_point now,
                                 const replication::document_change& change,
                                 change_reply reply, blackboard& board)
{
    const std::uint64_t request = m_next_request++;
    m_changes.emplace(request, std::move(reply));
    carry_out(m_core.handle(now, replication::propose_change{request, change}),
              board);
}

void document_controller::order_evacuation(
    time_point now, const replication::evacuation_change& change,
    change_reply reply, blackboard& board)
{
    const std::uint64_t request = m_next_request++;
    m_changes.emplace(request, std::move(reply));
    carry_out(
        m_core.handle(now, replication::propose_evacuation{request, change}),
        board);
}

void document_controller::change_members(
    time_point now, const replication::member_change& change,
    member_reply reply, blackboard& board)
{
    const std::uint64_t request = m_next_request++;
    m_member_changes.emplace(request, std::move(reply));
    carry_out(
        m_core.handle(now, replication::propose_membership{request, change}),
        board);
}

void document_controller::carry_out(const effects& wanted, blackboard& board)
{
    for (const replication::document_effect& effect : wanted)
    {
        std::visit([&](const auto& each) { carry_out_one(each, board); },
                   effect);
    }
}

void document_controller::carry_out_one(const replication::send_message& effect,
                                        blackboard& /*board*/)
{
    // What is not queued is lost, as on any network.
    (void)m_links.send_to_peer(effect.message.to, message_channel::replication,
                               replication::encode_message(effect.message));
}

void document_controller::carry_out_one(const replication::persist& effect,
                                        blackboard& /*board*/)
{
    m_storage.write(effect.request);
}

void document_controller::carry_out_one(const replication::role_changed& effect,
                                        blackboard& /*board*/)
{
    m_log.write(log_line(log_level::info, "control_role")
                    .field("role", replication::to_string(effect.role))
                    .field("term", effect.term)
                    .field("leader", effect.leader.value())
                    .field("reason", effect.reason));
}

void document_controller::carry_out_one(
    const replication::change_answered& effect, blackboard& /*board*/)
{
    const auto found = m_changes.find(effect.request);
    if (found == m_changes.end())
    {
        return;
    }
    const change_reply reply = std::move(found->second);
    m_changes.erase(found);
    reply(effect.outcome);
}

void document_controller::carry_out_one(
    const replication::membership_answered& effect, blackboard& /*board*/)
{
    const auto found = m_member_changes.find(effect.request);
    if (found == m_member_changes.end())
    {
        return;
    }
    const member_reply reply = std::move(found->second);
    m_member_changes.erase(found);
    reply(effect.outcome);
}

void document_controller::carry_out_one(
    const replication::evacuations_applied& effect, blackboard& board)
{
    applied_evacuations next;
    next.revision = effect.revision;
    for (const auto& [where, order] : m_core.evacuated().in_force())
    {
        next.places.insert(where);
    }
    if (next == board.evacuations.get())
    {
        return;
    }
    m_log.write(log_line(log_level::info, "evacuations_applied")
                    .field("revision", next.revision)
                    .field("places", names_of(next.places)));
    board.evacuations.set(std::move(next));
}

void document_controller::carry_out_one(
    const replication::version_applied& /*effect*/, blackboard& /*board*/)
{
    const replication::document_version* current = m_core.store().current();
    if (current == nullptr || current->version <= m_wanted_version)
    {
        return;
    }
    m_wanted_version = current->version;
    m_unread.push_back(unread_version{current->version, m_now});
    m_reader.read(document_thread::committed_document{
        current->version, current->operation, current->operator_name,
        current->document, m_core.store().routing().former()});
}

} // namespace crowlink::internal
