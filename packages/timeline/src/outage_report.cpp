#include "crowlink/timeline/outage_report.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>

namespace crowlink
{

namespace
{

// Pixels.
constexpr double label_width = 230;
constexpr double plot_width = 560;
constexpr double row_height = 18;
constexpr double bar_height = 10;
constexpr double title_height = 30;
constexpr double median_width = 2;
constexpr double least_bar = 1;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

double latest(const outage& one)
{
    double found = 0;
    for (const phase_times& each : one.phases)
    {
        found = std::max(found, seconds(each.last));
    }
    return found;
}

std::string label_of(const phase_times& times)
{
    return fmt::format("{}, {}", to_string(times.reached),
                       to_string(times.role));
}

// One row: its label, its bar and its median.
void draw_row(std::string& out, const phase_times& times, double top,
              double scale)
{
    const double left = label_width + seconds(times.first) * scale;
    const double width =
        std::max(least_bar, seconds(times.last - times.first) * scale);
    const double median = label_width + seconds(times.median) * scale;
    fmt::format_to(std::back_inserter(out),
                   "<text x=\"4\" y=\"{:.0f}\">{}</text>\n"
                   "<rect x=\"{:.1f}\" y=\"{:.0f}\" width=\"{:.1f}\" "
                   "height=\"{:.0f}\" fill=\"#9bb8d3\"/>\n"
                   "<rect x=\"{:.1f}\" y=\"{:.0f}\" width=\"{:.0f}\" "
                   "height=\"{:.0f}\" fill=\"#1f3b57\"><title>{:.2f} s"
                   "</title></rect>\n",
                   top + bar_height, label_of(times), left, top, width,
                   bar_height, median, top, median_width, bar_height,
                   seconds(times.median));
}

double height_of(const outage& one)
{
    return title_height + row_height * static_cast<double>(one.phases.size());
}

void draw(std::string& out, const outage& one, double top, double scale)
{
    fmt::format_to(std::back_inserter(out),
                   "<text x=\"4\" y=\"{:.0f}\" font-weight=\"bold\">"
                   "{} processes away from {:.2f} s on; {:.2f} s in all"
                   "</text>\n",
                   top + row_height, one.processes, seconds(one.began),
                   latest(one));
    double row = top + title_height;
    for (const phase_times& each : one.phases)
    {
        draw_row(out, each, row, scale);
        row += row_height;
    }
}

} // namespace

std::string to_text(const std::vector<outage>& outages)
{
    std::string out;
    for (const outage& one : outages)
    {
        fmt::format_to(std::back_inserter(out),
                       "{} processes away from {:.2f} s on\n"
                       "  {:<20} {:<9} {:>7} {:>7} {:>7} {:>9}\n",
                       one.processes, seconds(one.began), "phase", "role",
                       "first", "median", "last", "processes");
        for (const phase_times& each : one.phases)
        {
            fmt::format_to(std::back_inserter(out),
                           "  {:<20} {:<9} {:>7.2f} {:>7.2f} {:>7.2f} {:>9}\n",
                           to_string(each.reached), to_string(each.role),
                           seconds(each.first), seconds(each.median),
                           seconds(each.last), each.processes);
        }
    }
    return out;
}

std::string to_svg(const std::vector<outage>& outages)
{
    double height = 0;
    double longest = 0;
    for (const outage& one : outages)
    {
        height += height_of(one);
        longest = std::max(longest, latest(one));
    }
    const double scale = longest > 0 ? plot_width / longest : 1;
    std::string out = fmt::format(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{:.0f}\" "
        "height=\"{:.0f}\" font-family=\"sans-serif\" font-size=\"12\">\n",
        label_width + plot_width + median_width, std::max(height, 1.0));
    double top = 0;
    for (const outage& one : outages)
    {
        draw(out, one, top, scale);
        top += height_of(one);
    }
    out += "</svg>\n";
    return out;
}

} // namespace crowlink
