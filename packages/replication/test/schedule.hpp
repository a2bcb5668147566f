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
    // Prepare an evacuation order and keep it to be proposed later.
    prepare_order,
    // Propose a kept order, possibly not for the first time.
    propose_order,
    // Prepare and propose an order.
    issue_order,
    crash,
    // Power fails in the middle of a write.
    halt,
    restart,
    isolate,
    block,
    heal,
    set_message_faults,
    lose_disk,
    slow_disk,
    admit,
    remove,
};

// One step of a schedule; the meaning of the numbers depends on the kind.
struct action
{
    action_kind kind = action_kind::run;
    unsigned host = 0;
    unsigned amount = 0;
};

// Applies actions to a cluster as long as the log stays recoverable: at most a
// minority of the disks is lost until their hosts are voters again.
class schedule
{
public:
    explicit schedule(fake_cluster& cluster) : m_cluster(cluster) {}

    void perform(const action& one);

    // Ends all faults and runs until all hosts agree; false if they do not.
    bool converge();

private:
    bool all_voters_intact() const;
    bool all_hosts_agree() const;
    void propose(std::size_t host, unsigned behind);
    void order(const action& one);

    fake_cluster& m_cluster;
    std::vector<std::string> m_proposed;
};

} // namespace crowlink::replication
