#pragma once

#include <nlohmann/json.hpp>

#include <ctime>
#include <malloc.h>
#include <string>
#include <vector>

namespace crowlink::bench
{

// Processor seconds of this process since it was made.
class processor_time
{
public:
    double seconds() const
    {
        const auto passed = static_cast<double>(std::clock() - m_start);
        return passed / CLOCKS_PER_SEC;
    }

private:
    std::clock_t m_start = std::clock();
};

// The bytes of the heap that are in use.
inline double heap_bytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

// One measured quantity against one size.
struct slope
{
    std::string name;
    std::string against;
    std::string unit;
    std::vector<double> sizes;
    std::vector<double> values;

    void add(double size, double value)
    {
        sizes.push_back(size);
        values.push_back(value);
    }

    // The least-squares line, its slope, its value at zero and the greatest
    // relative distance of a point from it.
    nlohmann::json report() const;
};

} // namespace crowlink::bench
