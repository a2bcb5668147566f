#include "command_line.hpp"
#include "commands.hpp"

#include "crowlink/timeline.hpp"

#include <fmt/ostream.h>
#include <fstream>
#include <iostream>

namespace crowlink::internal
{

namespace
{

constexpr std::string_view standard_input = "-";

void read_lines(std::istream& from, life_collector& lives)
{
    std::string line;
    while (std::getline(from, line))
    {
        lives.take(line);
    }
}

bool read_log(const std::string& name, life_collector& lives)
{
    if (name == standard_input)
    {
        read_lines(std::cin, lives);
        return true;
    }
    std::ifstream file(name);
    if (!file)
    {
        return false;
    }
    read_lines(file, lives);
    return !file.bad();
}

bool write_plot(const std::string& name, const std::vector<outage>& outages)
{
    std::ofstream file(name);
    file << to_svg(outages);
    file.close();
    return !file.fail();
}

void print_counts(const life_collector& lives, std::size_t outages,
                  command_output& output)
{
    fmt::print(output.err,
               "crowlink timeline: {} lines, {} of them unreadable; {} starts "
               "of processes; {} outages\n",
               lives.lines(), lives.unreadable(), lives.lives().size(),
               outages);
    if (lives.omitted_lives() > 0)
    {
        fmt::print(output.err,
                   "crowlink timeline: {} later starts were left out\n",
                   lives.omitted_lives());
    }
}

} // namespace

exit_code run_timeline(const arguments_type& arguments, command_output& output)
{
    command_line line("Shows what happened after processes were away together, "
                      "from their logs.",
                      output);
    TCLAP::ValueArg<std::string> plot("", "plot", "write an SVG file", false,
                                      "", "FILE", line.line());
    TCLAP::ValueArg<std::size_t> least(
        "", "least", "processes that make an outage, default 3", false,
        outage_settings().least_processes, "COUNT", line.line());
    TCLAP::UnlabeledMultiArg<std::string> logs(
        "log",
        "logs with time and process before each line; - for standard input",
        true, "LOG", line.line());
    if (const auto ended = line.parse(arguments))
    {
        return *ended;
    }
    life_collector lives;
    for (const std::string& name : logs.getValue())
    {
        if (!read_log(name, lives))
        {
            fmt::print(output.err, "crowlink timeline: {}: can't be read\n",
                       name);
            return exit_code::failed;
        }
    }
    if (lives.lines() == lives.unreadable())
    {
        fmt::print(output.err, "crowlink timeline: no line starts with a time, "
                               "a process and an event\n");
        return exit_code::invalid;
    }
    outage_settings settings;
    settings.least_processes = least.getValue();
    const std::vector<outage> outages = find_outages(lives.lives(), settings);
    fmt::print(output.out, "{}", to_text(outages));
    print_counts(lives, outages.size(), output);
    if (plot.isSet() && !write_plot(plot.getValue(), outages))
    {
        fmt::print(output.err, "crowlink timeline: {}: can't be written\n",
                   plot.getValue());
        return exit_code::failed;
    }
    return exit_code::ok;
}

} // namespace crowlink::internal
