#pragma once

#include "fake_cluster.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace crowlink::replication
{

enum class action_kind : std::uint8_t
{
    run,
    run_long,
    propose,
    race,
    resend,
    // An order about the data centre is taken, and kept to be sent later.
    take_order,
    // One that was kept is sent, perhaps not for the first time.
    send_order,
    // An order is taken and sent at once.
    give_order,
    crash,
    // Power goes in the middle of a write.
    halt,
    restart,
    isolate,
    block,
    heal,
    disturb,
    lose_disk,
    slow_disk,
    admit,
    remove,
};

// One thing that happens to a cluster; what the numbers mean is the kind's.
struct action
{
    action_kind kind = action_kind::run;
    unsigned host = 0;
    unsigned amount = 0;
};

// Does actions to a cluster, as far as they leave the log recoverable: no more
// disks are lost, before their hosts are voters again, than a minority.
class schedule
{
public:
    explicit schedule(fake_cluster& cluster) : m_cluster(cluster) {}

    void perform(const action& one);

    // Repairs everything and waits until all hosts agree.
    bool converge();

private:
    bool all_whole() const;
    bool agreed() const;
    void propose(std::size_t host, unsigned behind);
    void order(const action& one);

    fake_cluster& m_cluster;
    std::vector<std::string> m_proposed;
};

} // namespace crowlink::replication
