#include "wire_convert.hpp"

#include "crowlink/replication/replica.hpp"

#include <gtest/gtest.h>

// One replica, driven by hand where a cluster would rarely come to the point.
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

// Founded by three voters, with one change that may not be committed.
durable_state founded()
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

class driven_replica
{
public:
    explicit driven_replica(durable_state restored)
        : m_replica(settings(), std::move(restored), m_now, seeded_random(1))
    {
        m_replica.start();
    }

    // The messages that the event makes it send.
    std::vector<replica_message> give(const replica_event& event)
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
        return give(message_received{replica_message{from, disk_of(from), self,
                                                     disk_of(self), 9, term,
                                                     std::move(body)}});
    }

    std::vector<replica_message> finish_write()
    {
        return give(storage_done{written.sequence});
    }

    void wait(duration time) { m_now += time; }
    replica_status status() const { return m_replica.status(m_now); }
    std::int64_t clock() const { return m_now.time_since_epoch().count(); }

    // Through both rounds of an election.
    void win()
    {
        wait(std::chrono::seconds(2));
        give(tick{});
        const term_number term = status().term + 1;
        receive(second, term - 1, vote_reply{true, true, term});
        finish_write();
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

TEST(replica, a_vote_is_held_before_it_is_told_and_kept_over_a_restart)
{
    const vote_request request{false, 2, 2, 3};
    driven_replica voter(founded());
    voter.wait(std::chrono::milliseconds(1100));
    EXPECT_TRUE(voter.receive(second, 3, request).empty());
    const auto told = voter.finish_write();
    ASSERT_EQ(told.size(), 1U);
    EXPECT_EQ(std::get<vote_reply>(told[0].body), (vote_reply{false, true, 3}));

    durable_state kept = founded();
    kept.state = voter.written.state;
    driven_replica restarted(kept);
    restarted.wait(std::chrono::milliseconds(900));
    EXPECT_TRUE(restarted.receive(second, 3, request).empty());
    restarted.wait(std::chrono::milliseconds(200));
    const auto other = restarted.receive(third, 3, request);
    ASSERT_EQ(other.size(), 1U);
    EXPECT_FALSE(std::get<vote_reply>(other[0].body).granted);
}

TEST(replica, a_leader_commits_earlier_terms_only_with_its_own)
{
    driven_replica leader(founded());
    leader.win();
    ASSERT_EQ(leader.status().role, replica_role::leader);
    leader.finish_write();
    leader.receive(second, 3, append_reply{true, 2, 3, leader.clock()});
    EXPECT_EQ(leader.status().commit, 1U);
    leader.receive(second, 3, append_reply{true, 3, 4, leader.clock()});
    EXPECT_EQ(leader.status().commit, 3U);
}

TEST(replica, heeds_only_the_disks_that_were_admitted)
{
    driven_replica voter(founded());
    voter.wait(std::chrono::milliseconds(1100));
    const replica_message to_another_disk{second,
                                          disk_of(second),
                                          self,
                                          disk_id(77),
                                          9,
                                          3,
                                          vote_request{false, 2, 2, 3}};
    voter.give(message_received{to_another_disk});
    EXPECT_EQ(voter.status().term, 2U);

    driven_replica leader(founded());
    leader.win();
    leader.finish_write();
    const replica_message from_another_disk{
        second,
        disk_id(77),
        self,
        disk_of(self),
        9,
        3,
        append_reply{true, 3, 4, leader.clock()}};
    leader.give(message_received{from_another_disk});
    EXPECT_EQ(leader.status().commit, 1U);
}

// Its settings need not name the leader, so that its hello would not reach it.
TEST(replica, one_that_lost_its_disk_says_hello_to_whoever_leads)
{
    durable_state empty;
    empty.disk = disk_id(77);
    driven_replica wiped(empty);
    const replica_message for_the_lost_disk{
        second, disk_of(second), self, disk_of(self), 9, 3, append_request{}};
    const auto sent = wiped.give(message_received{for_the_lost_disk});
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].to, second);
    EXPECT_EQ(sent[0].from_disk, disk_id(77));
    ASSERT_TRUE(std::holds_alternative<hello>(sent[0].body));
    EXPECT_TRUE(std::get<hello>(sent[0].body).blank);
    EXPECT_EQ(wiped.status().term, 0U);
}

TEST(replica, a_leader_whose_storage_hangs_steps_down)
{
    driven_replica leader(founded());
    leader.win();
    for (int i = 0; i < 4; ++i)
    {
        leader.wait(std::chrono::milliseconds(700));
        leader.receive(second, 3, append_reply{true, 2, 3, leader.clock()});
        leader.give(tick{});
    }
    EXPECT_EQ(leader.status().role, replica_role::follower);
}

TEST(replica, drops_messages_of_another_log)
{
    driven_replica voter(founded());
    const replica_message strange{
        second, disk_of(second), self, disk_of(self), 8, 30, hello{}};
    replica_message append = strange;
    append.body = append_request{2, 2, 2, {}, 0};
    EXPECT_TRUE(voter.give(message_received{append}).empty());
    EXPECT_EQ(voter.status().term, 2U);
}

} // namespace

} // namespace crowlink::replication
