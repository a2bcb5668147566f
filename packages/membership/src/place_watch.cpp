#include "crowlink/membership/place_watch.hpp"

#include <algorithm>

namespace crowlink
{

namespace
{

// Several times the number of hosts that must have answered.
constexpr std::size_t answers_kept = 8;

} // namespace

void place_watch::set_hosts(const hosts_type& hosts)
{
    std::erase_if(m_places, [&hosts](const auto& each)
                  { return hosts.count(each.first) == 0; });
    const auto is_unknown = [&hosts](const place_id& each)
    {
        return hosts.count(each) == 0;
    };
    std::erase_if(m_unreachable, is_unknown);
    std::erase_if(m_given_up, is_unknown);
    for (const auto& [where, list] : hosts)
    {
        m_places[where].hosts = list;
    }
}

std::vector<place_probe> place_watch::tick(time_point now)
{
    std::vector<place_probe> probes;
    for (auto& [where, place] : m_places)
    {
        note_missed(now, where, place);
        if (place.hosts.empty())
        {
            continue;
        }
        const bool starts_confirming = place.missed > 0 &&
                                       !place.is_confirming &&
                                       m_unreachable.count(where) == 0;
        if (starts_confirming)
        {
            place.is_confirming = true;
            for (std::uint32_t i = 0; i < m_settings.confirmations; ++i)
            {
                send_probe(now, place, probes);
            }
        }
        else if (now >= place.next_probe)
        {
            place.next_probe = now + interval();
            send_probe(now, place, probes);
        }
    }
    return probes;
}

void place_watch::note_missed(time_point now, const place_id& where,
                              watched_place& place)
{
    while (!place.unanswered.empty() &&
           now - place.unanswered.front().at >= m_settings.answer_timeout)
    {
        if (place.missed == 0)
        {
            place.missed_since = place.unanswered.front().at;
        }
        place.unanswered.pop_front();
        ++place.missed;
    }
    if (place.missed > m_settings.confirmations)
    {
        m_unreachable.insert(where);
        place.is_confirming = false;
    }
    if (is_given_up(now, place))
    {
        m_given_up.insert(where);
    }
}

bool place_watch::is_given_up(time_point now, const watched_place& place) const
{
    const bool enough_probes =
        place.missed > m_settings.confirmations + m_settings.give_up_probes;
    const std::set<endpoint> hosts(place.answering.begin(),
                                   place.answering.end());
    const bool enough_hosts = hosts.size() >= m_settings.give_up_hosts;
    const bool silent_for_long =
        now - place.missed_since >= m_settings.few_hosts_silence;
    return enough_probes && (enough_hosts || silent_for_long);
}

void place_watch::send_probe(time_point now, watched_place& place,
                             std::vector<place_probe>& probes)
{
    place.next_host = (place.next_host + 1) % place.hosts.size();
    const std::uint32_t number = m_next_number++;
    const endpoint& to = place.hosts[place.next_host];
    place.unanswered.push_back(sent_probe{number, now, to});
    probes.push_back(place_probe{to, number});
}

void place_watch::answered(std::uint32_t number)
{
    for (auto& [where, place] : m_places)
    {
        const auto sent = std::find_if(
            place.unanswered.begin(), place.unanswered.end(),
            [number](const sent_probe& each) { return each.number == number; });
        if (sent == place.unanswered.end())
        {
            continue;
        }
        place.answering.push_back(sent->to);
        if (place.answering.size() > answers_kept)
        {
            place.answering.pop_front();
        }
        // Probes sent before the answered one carry no further information.
        std::erase_if(place.unanswered, [number](const sent_probe& each)
                      { return each.number <= number; });
        place.missed = 0;
        place.is_confirming = false;
        m_unreachable.erase(where);
        m_given_up.erase(where);
        return;
    }
}

duration place_watch::interval() const
{
    constexpr duration second = std::chrono::seconds(1);
    const duration turns =
        second * m_places.size() / m_settings.probes_per_second;
    return std::max(m_settings.probe_interval, turns);
}

} // namespace crowlink
