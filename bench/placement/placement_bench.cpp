// Runs placement experiments and writes their reports.
//
//   crowlink_placement_bench FILE... [--output FOLDER]

#include "experiment.hpp"
#include "report.hpp"
#include "run_arms.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <string>
#include <tclap/CmdLine.h>
#include <vector>

namespace
{

using namespace crowlink;
using namespace crowlink::placement;

result<std::vector<experiment>> load(const std::string& file)
{
    std::ifstream stream(file);
    std::stringstream text;
    text << stream.rdbuf();
    if (!stream)
    {
        return fail(error_kind::not_found, file, "can't be read");
    }
    return read_experiments(text.str());
}

// One line an arm; the whole report goes to the file.
void print(const experiment& settings, const std::vector<arm_report>& reports)
{
    fmt::print("{}\n{:<20}{:>8}{:>9}{:>8}{:>9}{:>8}{:>8}{:>7}{:>9}{:>9}{:>9}\n",
               settings.name, "arm", "planned", "unplann", "refused",
               "for good", "doubled", "notrun!", "wrong", "bal mean",
               "bal worst", "p99 ms");
    for (const arm_report& report : reports)
    {
        double mean = 0.0;
        double worst = 0.0;
        for (const balance_report& balance : report.balance)
        {
            mean = std::max(mean, balance.flows_mean);
            worst = std::max(worst, balance.flows_worst);
        }
        fmt::print("{:<20}{:>8}{:>9}{:>8}{:>9}{:>8}{:>8}{:>7}{:>9.4f}{:>9.3f}"
                   "{:>9.1f}\n",
                   to_string(report.mode), report.broken_planned,
                   report.broken_unplanned, report.refusals,
                   report.refused_for_good, report.doubled,
                   report.not_run_false, report.wrong_service, mean, worst,
                   1000.0 * report.answer_p99);
    }
}

int run(int argc, char** argv)
{
    TCLAP::CmdLine line("Runs placement experiments.");
    TCLAP::ValueArg<std::string> output("o", "output", "folder for reports",
                                        false, ".", "folder", line);
    TCLAP::ValueArg<std::string> only("", "only", "part of the names to run",
                                      false, "", "text", line);
    TCLAP::UnlabeledMultiArg<std::string> files("files", "settings files", true,
                                                "file", line);
    line.parse(argc, argv);
    for (const std::string& file : files.getValue())
    {
        const auto experiments = load(file);
        if (!experiments)
        {
            fmt::print(stderr, "{}: {}\n", file,
                       to_string(experiments.error()));
            return 1;
        }
        for (const experiment& settings : *experiments)
        {
            if (settings.name.find(only.getValue()) == std::string::npos)
            {
                continue;
            }
            const auto reports = run_arms(settings);
            print(settings, reports);
            std::ofstream(output.getValue() + "/" + settings.name + ".json")
                << to_json(settings, reports);
        }
    }
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
