#include "capacity_report.hpp"

#include <chrono>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <thread>
#include <unistd.h>

namespace crowlink::capacity
{

namespace
{

using json = nlohmann::ordered_json;

constexpr const char* command = "bench/capacity/measure";

json to_value(const measured_slope& slope)
{
    const line_fit fit = fit_line(slope.points);
    json value = {
        {"name", slope.name},         {"role", slope.role},
        {"unit", slope.unit},         {"over", slope.over},
        {"command", command},         {"fixed", fit.fixed},
        {"per_unit", fit.per_unit},   {"per_unit_error", fit.per_unit_error},
        {"r_squared", fit.r_squared}, {"relative_error", fit.relative_error}};
    value["points"] = json::array();
    for (const point& one : slope.points)
    {
        value["points"].push_back({one.size, one.value});
    }
    return value;
}

std::string points_text(const std::vector<point>& points)
{
    std::string text;
    for (const point& one : points)
    {
        text += fmt::format("{}{:g}: {:.4g}", text.empty() ? "" : "; ",
                            one.size, one.value);
    }
    return text;
}

} // namespace

measured_where this_machine(bool is_short)
{
    const auto pages = static_cast<double>(sysconf(_SC_PHYS_PAGES));
    const auto page = static_cast<double>(sysconf(_SC_PAGESIZE));
    const std::time_t now =
        std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
    return {fmt::format("{:%Y-%m-%d}", fmt::gmtime(now)),
            std::thread::hardware_concurrency(), pages * page, is_short};
}

std::string to_json(const measured_where& where,
                    const std::vector<measured_slope>& slopes)
{
    json root;
    root["measured"] = {{"date", where.date},
                        {"cores", where.cores},
                        {"memory_bytes", where.memory_bytes},
                        {"short", where.is_short}};
    root["slopes"] = json::array();
    for (const measured_slope& slope : slopes)
    {
        root["slopes"].push_back(to_value(slope));
    }
    return root.dump(1) + "\n";
}

std::string to_table(const std::vector<measured_slope>& slopes)
{
    std::string text = "| slope | unit | over | fixed | per unit | error of "
                       "per unit | r² | error | points |\n"
                       "| --- | --- | --- | --- | --- | --- | --- | --- | --- "
                       "|\n";
    for (const measured_slope& slope : slopes)
    {
        const line_fit fit = fit_line(slope.points);
        text += fmt::format(
            "| {} | {} | {} | {:.4g} | {:.4g} | {:.2g} | {:.3f} | {:.0f}% | {} "
            "|\n",
            slope.name, slope.unit, slope.over, fit.fixed, fit.per_unit,
            fit.per_unit_error, fit.r_squared, 100.0 * fit.relative_error,
            points_text(slope.points));
    }
    return text;
}

} // namespace crowlink::capacity
