// Measures membership on one machine: slopes of each role, and the bad days of
// a system of the target's size in simulated time. Writes JSON to standard
// output and a table to standard error.

#include "scenarios.hpp"
#include "slopes.hpp"

#include <fmt/format.h>
#include <iostream>
#include <tclap/CmdLine.h>

namespace
{

using nlohmann::json;

constexpr std::size_t short_upstreams = 220;

void print(const json& slope)
{
    fmt::print(stderr, "{:<45} {:>12.4g} {} per {}, {:.4g} at zero, {:.1f} %\n",
               slope["name"].get<std::string>(), slope["slope"].get<double>(),
               slope["unit"].get<std::string>(),
               slope["against"].get<std::string>(),
               slope["at_zero"].get<double>(),
               100 * slope["worst_distance_of_largest"].get<double>());
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        TCLAP::CmdLine line("measures membership and distribution", ' ', "1");
        TCLAP::SwitchArg short_form("", "short", "small sizes only", line);
        TCLAP::SwitchArg only_slopes("", "slopes", "no scenarios", line);
        TCLAP::SwitchArg only_days("", "scenarios", "no slopes", line);
        TCLAP::ValueArg<std::size_t> upstreams("", "upstreams",
                                               "upstreams in the scenarios",
                                               false, 28000, "number", line);
        line.parse(argc, argv);
        json out = {{"slopes", json::array()}};
        if (!only_days.getValue())
        {
            const auto slopes =
                crowlink::bench::measure_slopes(short_form.getValue());
            for (const auto& each : slopes)
            {
                out["slopes"].push_back(each.report());
                print(out["slopes"].back());
            }
        }
        if (!only_slopes.getValue())
        {
            const std::size_t size =
                short_form.getValue() ? short_upstreams : upstreams.getValue();
            out["scenarios"] =
                crowlink::bench::run_scenarios(size, !short_form.getValue());
        }
        std::cout << out.dump(2) << '\n';
        return 0;
    }
    catch (const std::exception& problem)
    {
        fmt::print(stderr, "{}\n", problem.what());
        return 1;
    }
}
