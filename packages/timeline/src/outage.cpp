#include "crowlink/timeline/outage.hpp"

#include <algorithm>

namespace crowlink
{

namespace
{

using life_list = std::vector<const process_life*>;

life_list restarts(const std::vector<process_life>& lives)
{
    life_list found;
    for (const process_life& each : lives)
    {
        if (each.away_since)
        {
            found.push_back(&each);
        }
    }
    std::sort(found.begin(), found.end(),
              [](const process_life* one, const process_life* two)
              { return one->started() < two->started(); });
    return found;
}

// A process that wrote later than the first one started was not away yet.
duration beginning(const life_list& together)
{
    const duration first_back = together.front()->started();
    duration began = *together.front()->away_since;
    for (const process_life* each : together)
    {
        if (*each->away_since <= first_back)
        {
            began = std::max(began, *each->away_since);
        }
    }
    return began;
}

std::vector<phase_times> times_of(const life_list& together, duration began)
{
    std::vector<phase_times> all;
    for (std::size_t reached = 0; reached < phases; ++reached)
    {
        for (std::size_t role = 0; role < process_roles; ++role)
        {
            std::vector<duration> times;
            for (const process_life* each : together)
            {
                const auto& at = each->reached[reached];
                if (at && static_cast<std::size_t>(each->role) == role)
                {
                    times.push_back(*at - began);
                }
            }
            if (times.empty())
            {
                continue;
            }
            std::sort(times.begin(), times.end());
            all.push_back(phase_times{
                static_cast<phase>(reached), static_cast<process_role>(role),
                times.front(), times[(times.size() - 1) / 2], times.back(),
                times.size()});
        }
    }
    return all;
}

} // namespace

std::vector<outage> find_outages(const std::vector<process_life>& lives,
                                 const outage_settings& settings)
{
    const life_list all = restarts(lives);
    std::vector<outage> found;
    life_list together;
    for (std::size_t at = 0; at < all.size(); ++at)
    {
        together.push_back(all[at]);
        const bool is_last = at + 1 == all.size() ||
                             all[at + 1]->started() - all[at]->started() >
                                 settings.joined_within;
        if (!is_last)
        {
            continue;
        }
        if (together.size() >= settings.least_processes)
        {
            const duration began = beginning(together);
            found.push_back(
                outage{began, together.size(), times_of(together, began)});
        }
        together.clear();
    }
    return found;
}

} // namespace crowlink
