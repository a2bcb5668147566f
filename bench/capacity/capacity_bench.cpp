// Measures what each role costs over its sizes, and prints the table of
// docs/CAPACITY.md.
//
//   crowlink_capacity_bench [--short] [--output FILE]

#include "capacity_report.hpp"
#include "slopes.hpp"

#include <algorithm>
#include <exception>
#include <fmt/format.h>
#include <fstream>
#include <tclap/CmdLine.h>
#include <vector>

namespace
{

using namespace crowlink::capacity;

constexpr double full_seconds = 0.5;
constexpr double short_seconds = 0.002;

std::vector<measured_slope> measure(const effort& limit)
{
    std::vector<measured_slope> all;
    for (const auto measure_role :
         {balancer_slopes, packet_io_slopes, agent_slopes, voter_slopes,
          observer_slopes, node_slopes})
    {
        const auto slopes = measure_role(limit);
        all.insert(all.end(), slopes.begin(), slopes.end());
    }
    return all;
}

int run(int argc, char** argv)
{
    TCLAP::CmdLine line("Measures what each role costs over its sizes.");
    TCLAP::SwitchArg is_short("", "short", "few sizes, no verdict on time",
                              line);
    TCLAP::ValueArg<std::string> output("o", "output", "the slopes file", false,
                                        "slopes.json", "file", line);
    line.parse(argc, argv);
    effort limit;
    limit.is_short = is_short.getValue();
    limit.point_seconds = limit.is_short ? short_seconds : full_seconds;
    const auto slopes = measure(limit);
    std::ofstream(output.getValue())
        << to_json(this_machine(limit.is_short), slopes);
    fmt::print("{}", to_table(slopes));
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(argc, argv);
    }
    catch (const TCLAP::ArgException& problem)
    {
        fmt::print(stderr, "{}: {}\n", problem.argId(), problem.error());
        return 1;
    }
    catch (const std::exception& problem)
    {
        fmt::print(stderr, "{}\n", problem.what());
        return 1;
    }
}
