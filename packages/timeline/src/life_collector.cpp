#include "crowlink/timeline/life_collector.hpp"

#include <optional>

namespace crowlink
{

namespace
{

process_role role_of(const log_record& started)
{
    if (started.field("control") == "true")
    {
        return process_role::control;
    }
    if (started.field("relay") == "true")
    {
        return process_role::relay;
    }
    return started.field("balancer") == "true" ? process_role::balancer
                                               : process_role::agent;
}

// The phase that a line shows to be reached.
std::optional<phase> phase_of(const log_record& record)
{
    if (record.event == "control_role" && record.field("role") == "leader")
    {
        return phase::leads;
    }
    if (record.event == "publishing" && record.field("sure") == "true")
    {
        return phase::confirmed;
    }
    if (record.event == "version_in_force")
    {
        return phase::in_force;
    }
    if (record.event == "placement" && record.field("action") == "admitted")
    {
        return phase::first_flow;
    }
    if (record.event == "request" && record.field("step") == "answered")
    {
        return phase::first_answer;
    }
    return std::nullopt;
}

} // namespace

void life_collector::take(std::string_view line)
{
    if (line.empty())
    {
        return;
    }
    ++m_lines;
    const auto record = read_log_record(line);
    if (!record)
    {
        ++m_unreadable;
        return;
    }
    const auto [place, is_first] = m_sources.try_emplace(record->source);
    if (record->event == "started")
    {
        begin(*record, place->second, is_first);
    }
    else
    {
        note(*record, place->second);
    }
    place->second.last_line = record->at;
}

void life_collector::begin(const log_record& record, source_state& state,
                           bool is_first)
{
    state.life = m_lives.size();
    if (m_lives.size() >= most_lives)
    {
        ++m_omitted;
        return;
    }
    process_life made;
    made.source = record.source;
    made.role = role_of(record);
    if (!is_first)
    {
        made.away_since = state.last_line;
    }
    made.reached[static_cast<std::size_t>(phase::started)] = record.at;
    m_lives.push_back(std::move(made));
}

void life_collector::note(const log_record& record, const source_state& state)
{
    const auto reached = phase_of(record);
    const bool is_kept = state.life < m_lives.size() &&
                         m_lives[state.life].source == record.source;
    if (!reached || !is_kept)
    {
        return;
    }
    auto& first =
        m_lives[state.life].reached[static_cast<std::size_t>(*reached)];
    if (!first)
    {
        first = record.at;
    }
}

} // namespace crowlink
