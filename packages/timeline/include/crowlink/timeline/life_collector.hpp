#pragma once

#include "crowlink/timeline/log_record.hpp"
#include "crowlink/timeline/process_life.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace crowlink
{

// Follows the lives of processes through lines that are in order for each
// process; those of different ones may be mixed. Needs memory for each start of
// a process, not for each line.
class life_collector
{
public:
    // At some 200 bytes each 40 MB. Later lives are counted and left out.
    static constexpr std::size_t most_lives = 200'000;

    // Takes one line, without its end. One that can't be read is counted.
    void take(std::string_view line);

    const std::vector<process_life>& lives() const { return m_lives; }
    // Lines that were read, and those that could not be.
    std::uint64_t lines() const { return m_lines; }
    std::uint64_t unreadable() const { return m_unreadable; }
    std::uint64_t omitted_lives() const { return m_omitted; }

private:
    struct source_state
    {
        duration last_line{};
        // Of m_lives; beyond its end while the process has none there.
        std::size_t life = 0;
    };

    void begin(const log_record& record, source_state& state, bool is_first);
    void note(const log_record& record, const source_state& state);

    std::vector<process_life> m_lives;
    std::unordered_map<std::string, source_state> m_sources;
    std::uint64_t m_lines = 0;
    std::uint64_t m_unreadable = 0;
    std::uint64_t m_omitted = 0;
};

} // namespace crowlink
