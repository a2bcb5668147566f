#include "crowlink/balancer/egress_counts.hpp"

#include "crowlink/base/metrics.hpp"

namespace crowlink
{

void add_to(metrics& target, const egress_counts& counts)
{
    target.count("crowlink_balancer_egress_queued_bytes{level=\"small\"}",
                 counts.small_queued_bytes);
    target.count("crowlink_balancer_egress_queued_bytes{level=\"bulk\"}",
                 counts.bulk_queued_bytes);
    target.count("crowlink_balancer_egress_queued_total{level=\"small\"}",
                 counts.small_queued);
    target.count("crowlink_balancer_egress_queued_total{level=\"bulk\"}",
                 counts.bulk_queued);
    target.count("crowlink_balancer_egress_dropped_total{level=\"small\"}",
                 counts.small_dropped);
    target.count("crowlink_balancer_egress_dropped_total{level=\"bulk\"}",
                 counts.bulk_dropped);
    target.count("crowlink_balancer_egress_repeated_total{level=\"bulk\"}",
                 counts.bulk_repeated);
    target.count("crowlink_balancer_egress_flows_refused_total",
                 counts.refused_flows);
}

} // namespace crowlink
