#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace crowlink::test
{

// Counts the actual runs over all upstreams, by the number at the start of the
// body.
class run_record
{
public:
    void started(const std::string& body) { ++m_runs[std::stoull(body)]; }

    int runs(std::uint64_t number) const
    {
        const auto found = m_runs.find(number);
        return found == m_runs.end() ? 0 : found->second;
    }

private:
    std::map<std::uint64_t, int> m_runs;
};

} // namespace crowlink::test
