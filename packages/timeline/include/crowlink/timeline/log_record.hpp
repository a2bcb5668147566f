#pragma once

#include "crowlink/base/error.hpp"
#include "crowlink/base/time.hpp"

#include <compare>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace crowlink
{

// One structured line and who wrote it when. Whatever collects the standard
// output of processes puts both in front of the line:
//
//   37.4821 edge-1/control level=info event=publishing sure=true
//   1970-01-02T03:00:01.25Z edge-1 {"level":"info","event":"started"}
struct log_record
{
    // Since the origin of the log's own times: the start of a run, or 1970.
    duration at{};
    std::string source;
    std::string event;
    // In the order of the line, without the event.
    std::vector<std::pair<std::string, std::string>> fields;

    // The value of a field; empty where the line has none of that name.
    std::string_view field(std::string_view name) const;

    friend auto operator<=>(const log_record&, const log_record&) = default;
};

// Reads a line. `invalid`, with the part that can't be read, where its time,
// its source or its event is missing.
result<log_record> read_log_record(std::string_view line);

} // namespace crowlink
