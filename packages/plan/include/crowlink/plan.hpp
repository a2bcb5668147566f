#pragma once

// The plan module: computes the number of hosts that a deployment needs from
// measured costs. It performs no I/O.
//
//   cost.hpp           the names of the measured costs
//   cost_line.hpp      a cost as a linear function, with the error of its fit
//   measured_costs.hpp the linear functions of all costs
//   deployment.hpp     the sizes of a deployment
//   host_limits.hpp    the capacity of one host and control's share of it
//   limit_use.hpp      the utilization of one limit
//   capacity_plan.hpp  the required hosts and the utilization of limits
//   plan_file.hpp      reads a deployment from JSON with comments

#include "crowlink/plan/capacity_plan.hpp"
#include "crowlink/plan/cost.hpp"
#include "crowlink/plan/cost_line.hpp"
#include "crowlink/plan/deployment.hpp"
#include "crowlink/plan/host_limits.hpp"
#include "crowlink/plan/limit_use.hpp"
#include "crowlink/plan/measured_costs.hpp"
#include "crowlink/plan/plan_file.hpp"
