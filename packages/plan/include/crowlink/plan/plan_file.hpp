#pragma once

#include "crowlink/base/error.hpp"
#include "crowlink/plan/deployment.hpp"
#include "crowlink/plan/host_limits.hpp"

#include <string_view>

namespace crowlink
{

// The operator's input for a plan.
struct plan_file
{
    deployment sizes;
    host_limits host;

    friend bool operator==(const plan_file&, const plan_file&) = default;
};

// Reads JSON with comments. An unknown name, a missing size or a value that is
// not a positive number is an error with the path of the field.
result<plan_file> read_plan_file(std::string_view text);

} // namespace crowlink
