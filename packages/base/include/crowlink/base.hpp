#pragma once

// The base module: the value types and small services that every other module
// uses. It holds no I/O beyond the log sink.
//
//   ids.hpp        typed identifiers: host, place, region, service, upstream
//   time.hpp       monotonic time points and the clock concept
//   random.hpp     the random source concept
//   verdict.hpp    whether a request may have run
//   error.hpp      the error value carried by result<T>
//   ip_address.hpp IPv4 and IPv6 addresses
//   endpoint.hpp   an address and a port
//   flow_key.hpp   the five-tuple of a flow
//   hash.hpp       seeded 64-bit hashes
//   log_line.hpp   one structured log line
//   log_sink.hpp   the bounded queue that writes log lines
//   metrics.hpp    counters and summaries

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/error.hpp"
#include "crowlink/base/flow_key.hpp"
#include "crowlink/base/hash.hpp"
#include "crowlink/base/ids.hpp"
#include "crowlink/base/ip_address.hpp"
#include "crowlink/base/log_line.hpp"
#include "crowlink/base/log_sink.hpp"
#include "crowlink/base/metrics.hpp"
#include "crowlink/base/random.hpp"
#include "crowlink/base/time.hpp"
#include "crowlink/base/verdict.hpp"
