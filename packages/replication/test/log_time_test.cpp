#include "crowlink/replication/replicated_document.hpp"

#include <gtest/gtest.h>

// The clock of the log, which says how long former routes are kept.
namespace crowlink::replication
{

namespace
{

using std::chrono::seconds;

// A control host alone, whose disk takes a write when the test says so.
class lone_host
{
public:
    lone_host()
        : m_document(settings(), restored(), m_now, seeded_random(1), limits())
    {
        take(m_document.start());
        while (m_document.status(m_now).role != replica_role::leader)
        {
            pass(std::chrono::milliseconds(100));
            handle(tick{});
            finish_writes();
        }
    }

    void propose(std::uint64_t version)
    {
        document_change change;
        change.given = config_version(version);
        change.operation = operation_id("given-" + std::to_string(version));
        change.document = "{}";
        change.routing.emplace();
        handle(propose_change{version, change});
    }

    void finish_writes()
    {
        while (!m_writes.empty())
        {
            const std::uint64_t done = m_writes.front();
            m_writes.erase(m_writes.begin());
            handle(storage_done{done});
        }
    }

    void pass(duration time) { m_now += time; }

    std::chrono::milliseconds time() const
    {
        return m_document.store().routing().time();
    }
    config_version version() const
    {
        return m_document.store().current_version();
    }

private:
    static replica_settings settings()
    {
        replica_settings made;
        made.self = host_id("a");
        made.founding_voters = {host_id("a")};
        return made;
    }

    static durable_state restored()
    {
        durable_state made;
        made.disk = disk_id(1);
        return made;
    }

    static store_limits limits()
    {
        store_limits made;
        made.flow_life = seconds(60);
        return made;
    }

    template <class Event>
    void handle(const Event& event)
    {
        take(m_document.handle(m_now, event));
    }

    void take(const std::vector<document_effect>& effects)
    {
        for (const document_effect& effect : effects)
        {
            if (const auto* wanted = std::get_if<persist>(&effect))
            {
                m_writes.push_back(wanted->request.sequence);
            }
        }
    }

    time_point m_now{seconds(1)};
    std::vector<std::uint64_t> m_writes;
    replicated_document m_document;
};

} // namespace

TEST(log_time, is_the_time_between_versions)
{
    lone_host host;
    host.propose(1);
    host.finish_writes();
    const auto first = host.time();
    host.pass(seconds(70));
    host.propose(2);
    host.finish_writes();
    EXPECT_EQ(host.version(), config_version(2));
    EXPECT_EQ(host.time() - first, seconds(70));
}

// Guards against time that counts once for each of several changes that are
// under way: former routes would be forgotten while their flows are open.
TEST(log_time, counts_once_for_changes_that_are_under_way_together)
{
    lone_host host;
    host.propose(1);
    host.finish_writes();
    const auto first = host.time();
    host.pass(seconds(40));
    for (std::uint64_t version = 2; version <= 5; ++version)
    {
        host.propose(version);
    }
    host.finish_writes();
    EXPECT_EQ(host.version(), config_version(5));
    EXPECT_EQ(host.time() - first, seconds(40));
}

} // namespace crowlink::replication
