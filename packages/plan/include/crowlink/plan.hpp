#pragma once

// The plan module: how many hosts a deployment needs, from measured slopes.
// It is arithmetic on values; it opens no file and asks no host.
//
//   cost.hpp           the names of the measured costs
//   cost_line.hpp      a cost as a straight line, with the error of its fit
//   measured_costs.hpp all lines, as the capacity bench wrote them
//   deployment.hpp     the sizes of a deployment
//   host_limits.hpp    what one host offers and what control may spend of it
//   limit_use.hpp      how much of one limit a plan uses
//   capacity_plan.hpp  the hosts that are needed and the limits they meet
//   plan_file.hpp      reading a deployment from JSON with comments

#include "crowlink/plan/capacity_plan.hpp"
#include "crowlink/plan/cost.hpp"
#include "crowlink/plan/cost_line.hpp"
#include "crowlink/plan/deployment.hpp"
#include "crowlink/plan/host_limits.hpp"
#include "crowlink/plan/limit_use.hpp"
#include "crowlink/plan/measured_costs.hpp"
#include "crowlink/plan/plan_file.hpp"
