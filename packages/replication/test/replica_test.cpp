#include "wire_convert.hpp"

#include "crowlink/replication/replica.hpp"

#include <gtest/gtest.h>

// Drives one replica directly through states that a cluster rarely reaches.
namespace crowlink::replication
{

namespace
{

const host_id self("a");
const host_id second("b");
const host_id third("c");

disk_id disk_of(const host_id& host)
{
    return disk_id(static_cast<unsigned char>(host.value()[0]));
}

// The state of a log with three voters and a change that may be uncommitted.
durable_state initial_state()
{
    std::vector<member> voters;
    for (const host_id& host : {self, second, third})
    {
        voters.push_back(member{host, disk_of(host), member_role::voter});
    }
    durable_state state;
    state.disk = disk_of(self);
    state.state = hard_state{2, host_id(), 1, 9};
    state.entries = {log_entry{1, 1, entry_kind::membership,
                               internal::encode_membership(membership(voters))},
                     log_entry{2, 2, entry_kind::payload, "change"}};
    return state;
}

class replica_driver
{
public:
    explicit replica_driver(durable_state restored)
        : m_replica(settings(), std::move(restored), m_now, seeded_random(1))
    {
        m_replica.start();
    }

    // Returns the messages that the replica sends on the event.
    std::vector<replica_message> handle_input(const replica_event& event)
    {
        std::vector<replica_message> sent;
        for (const replica_effect& effect : m_replica.handle(m_now, event))
        {
            if (const auto* one = std::get_if<send_message>(&effect))
            {
                sent.push_back(one->message);
            }
            if (const auto* one = std::get_if<persist>(&effect))
            {
                written = one->request;
            }
        }
        return sent;
    }

    std::vector<replica_message> receive(const host_id& from, term_number term,
                                         message_body body)
    {
        return handle_input(message_received{
            replica_message{from, disk_of(from), self, disk_of(self), 9, term,
                            std::move(body)}});
    }

    std::vector<replica_message> complete_write()
    {
        return handle_input(storage_done{written.sequence});
    }

    void wait(duration time) { m_now += time; }
    replica_status status() const { return m_replica.status(m_now); }
    bool can_read() const { return m_replica.can_read(m_now); }
    std::int64_t clock() const { return m_now.time_since_epoch().count(); }

    // Wins the pre-vote, and asks for votes.
    void become_candidate()
    {
        wait(std::chrono::seconds(2));
        handle_input(tick{});
        const term_number term = status().term;
        receive(second, term, vote_reply{true, true, term + 1});
        complete_write();
    }

    void win_election()
    {
        become_candidate();
        const term_number term = status().term;
        receive(second, term, vote_reply{false, true, term});
    }

    persist_request written;

private:
    static replica_settings settings()
    {
        replica_settings out;
        out.self = self;
        out.peers = {second, third};
        return out;
    }

    time_point m_now;
    replica m_replica;
};

std::vector<vote_request>
vote_requests(const std::vector<replica_message>& sent)
{
    std::vector<vote_request> found;
    for (const replica_message& one : sent)
    {
        if (const auto* request = std::get_if<vote_request>(&one.body))
        {
            found.push_back(*request);
        }
    }
    return found;
}

TEST(replica, a_vote_is_durable_before_it_is_sent_and_survives_a_restart)
{
    const vote_request request{false, 2, 2, 3};
    replica_driver voter(initial_state());
    voter.wait(std::chrono::milliseconds(1100));
    EXPECT_TRUE(voter.receive(second, 3, request).empty());
    const auto sent = voter.complete_write();
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(std::get<vote_reply>(sent[0].body), (vote_reply{false, true, 3}));

    durable_state kept = initial_state();
    kept.state = voter.written.state;
    replica_driver restarted(kept);
    restarted.wait(std::chrono::milliseconds(900));
    EXPECT_TRUE(restarted.receive(second, 3, request).empty());
    restarted.wait(std::chrono::milliseconds(200));
    const auto other = restarted.receive(third, 3, request);
    ASSERT_EQ(other.size(), 1U);
    EXPECT_FALSE(std::get<vote_reply>(other[0].body).granted);
}

// Guards against a leader whose lease others take for ended: its request for
// pre-votes told them that it can't win its term any more.
TEST(replica, a_candidate_that_asks_for_pre_votes_cannot_win_its_term_any_more)
{
    replica_driver candidate(initial_state());
    candidate.become_candidate();
    candidate.receive(third, 3, vote_reply{false, false, 3});
    ASSERT_EQ(candidate.status().role, replica_role::candidate);
    candidate.wait(std::chrono::seconds(4));
    EXPECT_EQ(vote_requests(candidate.handle_input(tick{})),
              std::vector(2, vote_request{true, 2, 2, 4}));
    candidate.receive(second, 3, vote_reply{false, true, 3});
    EXPECT_EQ(candidate.status().role, replica_role::pre_candidate);
}

TEST(replica, a_candidate_asks_again_while_too_few_voters_have_answered)
{
    replica_driver candidate(initial_state());
    candidate.become_candidate();
    candidate.wait(std::chrono::seconds(4));
    EXPECT_EQ(vote_requests(candidate.handle_input(tick{})),
              std::vector(2, vote_request{false, 2, 2, 3}));
    candidate.receive(second, 3, vote_reply{false, true, 3});
    EXPECT_EQ(candidate.status().role, replica_role::leader);
}

// Guards against a candidate that hears nobody and holds back all elections by
// its repeated requests.
TEST(replica, repeated_vote_requests_do_not_delay_an_election)
{
    const vote_request request{false, 2, 2, 3};
    replica_driver voter(initial_state());
    voter.wait(std::chrono::milliseconds(1100));
    voter.receive(second, 3, request);
    voter.complete_write();
    for (int i = 0; i < 3; ++i)
    {
        voter.wait(std::chrono::milliseconds(700));
        voter.receive(second, 3, request);
        voter.handle_input(tick{});
    }
    EXPECT_EQ(voter.status().role, replica_role::pre_candidate);
}

TEST(replica, grants_no_pre_vote_while_its_own_vote_is_being_written)
{
    replica_driver voter(initial_state());
    voter.wait(std::chrono::milliseconds(1100));
    voter.receive(second, 3, vote_request{false, 2, 2, 3});
    voter.wait(std::chrono::seconds(5));
    voter.receive(third, 3, vote_request{true, 2, 2, 4});
    const auto sent = voter.complete_write();
    ASSERT_EQ(sent.size(), 2U);
    EXPECT_EQ(std::get<vote_reply>(sent[0].body), (vote_reply{false, true, 3}));
    EXPECT_EQ(std::get<vote_reply>(sent[1].body), (vote_reply{true, false, 4}));
}

TEST(replica, a_leader_commits_earlier_terms_only_with_an_entry_of_its_own)
{
    replica_driver leader(initial_state());
    leader.win_election();
    ASSERT_EQ(leader.status().role, replica_role::leader);
    leader.complete_write();
    leader.receive(second, 3, append_reply{true, 2, 3, leader.clock()});
    EXPECT_EQ(leader.status().commit, 1U);
    leader.receive(second, 3, append_reply{true, 3, 4, leader.clock()});
    EXPECT_EQ(leader.status().commit, 3U);
}

TEST(replica, ignores_messages_to_or_from_disks_that_were_not_admitted)
{
    replica_driver voter(initial_state());
    voter.wait(std::chrono::milliseconds(1100));
    const replica_message to_another_disk{second,
                                          disk_of(second),
                                          self,
                                          disk_id(77),
                                          9,
                                          3,
                                          vote_request{false, 2, 2, 3}};
    voter.handle_input(message_received{to_another_disk});
    EXPECT_EQ(voter.status().term, 2U);

    replica_driver leader(initial_state());
    leader.win_election();
    leader.complete_write();
    const replica_message from_another_disk{
        second,
        disk_id(77),
        self,
        disk_of(self),
        9,
        3,
        append_reply{true, 3, 4, leader.clock()}};
    leader.handle_input(message_received{from_another_disk});
    EXPECT_EQ(leader.status().commit, 1U);
}

// The settings need not name the leader, so that the regular hello of this host
// would not reach it.
TEST(replica, a_host_that_lost_its_disk_sends_hello_to_the_leader)
{
    durable_state empty;
    empty.disk = disk_id(77);
    replica_driver wiped(empty);
    const replica_message for_the_lost_disk{
        second, disk_of(second), self, disk_of(self), 9, 3, append_request{}};
    const auto sent = wiped.handle_input(message_received{for_the_lost_disk});
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].to, second);
    EXPECT_EQ(sent[0].from_disk, disk_id(77));
    ASSERT_TRUE(std::holds_alternative<hello>(sent[0].body));
    EXPECT_TRUE(std::get<hello>(sent[0].body).blank);
    EXPECT_EQ(wiped.status().term, 0U);
}

// Lets 2.8 s pass, in which the leader's own write is under way, and the other
// voters answer that they have stored these entries.
void stall(replica_driver& leader, log_index stored_by_second,
           log_index stored_by_third)
{
    for (int i = 0; i < 4; ++i)
    {
        leader.wait(std::chrono::milliseconds(700));
        leader.receive(second, 3,
                       append_reply{true, stored_by_second,
                                    stored_by_second + 1, leader.clock()});
        leader.receive(third, 3,
                       append_reply{true, stored_by_third, stored_by_third + 1,
                                    leader.clock()});
        leader.handle_input(tick{});
    }
}

TEST(replica, a_leader_whose_storage_stalls_steps_down)
{
    replica_driver leader(initial_state());
    leader.win_election();
    stall(leader, 3, 3);
    EXPECT_EQ(leader.status().role, replica_role::follower);
}

// Guards against elections without end where all disks are slow: nobody else
// would commit sooner.
TEST(replica, a_leader_stays_while_no_quorum_stores_faster)
{
    replica_driver leader(initial_state());
    leader.win_election();
    stall(leader, 3, 2);
    EXPECT_EQ(leader.status().role, replica_role::leader);
}

// Guards against hosts that take their own pause for their leader's silence:
// what it sent meanwhile waits to be handled.
TEST(replica, a_follower_does_not_campaign_for_a_pause_of_its_own)
{
    replica_driver follower(initial_state());
    follower.receive(second, 3, append_request{2, 2, 2, {}, 0});
    follower.complete_write();
    follower.wait(std::chrono::seconds(3));
    follower.handle_input(held_up{std::chrono::milliseconds(2900)});
    follower.handle_input(tick{});
    EXPECT_EQ(follower.status().role, replica_role::follower);
    // Silence in which it runs counts as before.
    follower.wait(std::chrono::milliseconds(1500));
    follower.handle_input(tick{});
    EXPECT_EQ(follower.status().role, replica_role::pre_candidate);
}

// The same of a leader that waits for the replies of others. It must not answer
// reads meanwhile, since another host may lead.
TEST(replica, a_leader_does_not_step_down_for_a_pause_of_its_own)
{
    replica_driver leader(initial_state());
    leader.win_election();
    leader.complete_write();
    leader.receive(second, 3, append_reply{true, 3, 4, leader.clock()});
    leader.wait(std::chrono::seconds(3));
    leader.handle_input(held_up{std::chrono::milliseconds(2900)});
    leader.handle_input(tick{});
    EXPECT_EQ(leader.status().role, replica_role::leader);
    EXPECT_FALSE(leader.can_read());
    leader.wait(std::chrono::seconds(1));
    leader.handle_input(tick{});
    EXPECT_EQ(leader.status().role, replica_role::follower);
}

TEST(replica, drops_messages_of_another_log)
{
    replica_driver voter(initial_state());
    const replica_message foreign{
        second, disk_of(second), self, disk_of(self), 8, 30, hello{}};
    replica_message append = foreign;
    append.body = append_request{2, 2, 2, {}, 0};
    EXPECT_TRUE(voter.handle_input(message_received{append}).empty());
    EXPECT_EQ(voter.status().term, 2U);
}

} // namespace

} // namespace crowlink::replication
