#pragma once

// The timeline module: what happened after hosts were away, from the logs of
// many processes.
//
//   life_collector lives;
//   while (std::getline(log, line))
//   {
//       lives.take(line);
//   }
//   fmt::print("{}", to_text(find_outages(lives.lives(), outage_settings())));
//
//   log_record.hpp      one line of a log
//   process_life.hpp    one process from its start on, and what it reached
//   life_collector.hpp  all lives, from lines in the order of each process
//   outage.hpp          processes that were away together, and their phases
//   outage_report.hpp   outages as text and as a plot

#include "crowlink/timeline/life_collector.hpp"
#include "crowlink/timeline/log_record.hpp"
#include "crowlink/timeline/outage.hpp"
#include "crowlink/timeline/outage_report.hpp"
#include "crowlink/timeline/process_life.hpp"
