#pragma once

#include "measuring.hpp"

#include <vector>

namespace crowlink::bench
{

// Measures what each role spends against its sizes; the short form takes small
// sizes only.
std::vector<slope> measure_slopes(bool short_form);

} // namespace crowlink::bench
