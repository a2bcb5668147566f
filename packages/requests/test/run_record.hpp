#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace crowlink::test
{

// What truly ran, over all upstreams, by the number that bodies start with.
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
