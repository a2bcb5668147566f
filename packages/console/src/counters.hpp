#pragma once

#include "crowlink/base/metrics.hpp"

#include <mutex>
#include <string>
#include <string_view>

namespace crowlink::internal
{

// The console's counters, for its several threads.
class counters
{
public:
    void count(std::string_view name)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_metrics.count(name);
    }

    std::string render() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_metrics.render();
    }

private:
    mutable std::mutex m_mutex;
    metrics m_metrics;
};

inline constexpr std::string_view count_requests =
    "crowlink_console_requests_total";
inline constexpr std::string_view count_accepted =
    "crowlink_console_changes_accepted_total";
inline constexpr std::string_view count_conflicts =
    "crowlink_console_changes_conflicting_total";
inline constexpr std::string_view count_invalid =
    "crowlink_console_refused_invalid_total";
inline constexpr std::string_view count_unavailable =
    "crowlink_console_refused_unavailable_total";
inline constexpr std::string_view count_unauthorized =
    "crowlink_console_refused_unauthorized_total";
inline constexpr std::string_view count_forged =
    "crowlink_console_refused_forged_form_total";
inline constexpr std::string_view count_too_large =
    "crowlink_console_refused_too_large_total";

} // namespace crowlink::internal
