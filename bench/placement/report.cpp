#include "report.hpp"

#include <nlohmann/json.hpp>

namespace crowlink::placement
{

namespace
{

using json = nlohmann::ordered_json;

json to_value(const balance_report& report)
{
    return {{"service", report.service},
            {"flows_mean", report.flows_mean},
            {"flows_worst", report.flows_worst},
            {"flows_mean_all", report.flows_mean_all},
            {"requests_mean", report.requests_mean}};
}

json to_value(const arm_report& report)
{
    json value = {{"arm", to_string(report.mode)},
                  {"flows", report.flows},
                  {"requests", report.requests},
                  {"answers", report.answers},
                  {"broken_planned", report.broken_planned},
                  {"broken_unplanned", report.broken_unplanned},
                  {"broken_silently", report.broken_silently},
                  {"refusals", report.refusals},
                  {"refused_for_good", report.refused_for_good},
                  {"retries", report.retries},
                  {"unknown_outcome", report.unknown_outcome},
                  {"doubled", report.doubled},
                  {"not_run_checked", report.not_run_checked},
                  {"not_run_false", report.not_run_false},
                  {"lost", report.lost},
                  {"wrong_service", report.wrong_service},
                  {"misdelivered", report.misdelivered},
                  {"host_datagrams", report.host_datagrams},
                  {"control_datagrams", report.control_datagrams},
                  {"unfinished_restarts", report.unfinished_restarts},
                  {"answer_median_seconds", report.answer_median},
                  {"answer_p99_seconds", report.answer_p99},
                  {"answer_p999_seconds", report.answer_p999}};
    value["balance"] = json::array();
    for (const balance_report& balance : report.balance)
    {
        value["balance"].push_back(to_value(balance));
    }
    return value;
}

} // namespace

std::string to_json(const experiment& settings,
                    const std::vector<arm_report>& reports)
{
    json root = {{"experiment", settings.name}, {"seed", settings.seed}};
    root["arms"] = json::array();
    for (const arm_report& report : reports)
    {
        root["arms"].push_back(to_value(report));
    }
    return root.dump(2) + "\n";
}

} // namespace crowlink::placement
