#pragma once

#include <cstdint>
#include <random>

namespace crowlink
{

// A source of uniformly distributed 64-bit numbers, such as a standard engine.
// Cores take one as a parameter, so that a run repeats from its seed.
template <class Source>
concept random_source = std::uniform_random_bit_generator<Source>;

// The engine used wherever a seed is given.
using seeded_random = std::mt19937_64;

static_assert(random_source<seeded_random>,
              "the default engine must satisfy the random concept");

} // namespace crowlink
