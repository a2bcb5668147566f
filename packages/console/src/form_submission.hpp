#pragma once

#include "crowlink/base/error.hpp"
#include "crowlink/base/ids.hpp"
#include "form_kind.hpp"
#include "form_values.hpp"

#include <httplib.h>

namespace crowlink::internal
{

// One step of a form, as it was sent.
struct form_submission
{
    form_kind kind = form_kind::document;
    // The version that the form was filled from.
    config_version base;
    // Only of the step that applies.
    operation_id operation;
    form_values typed;
};

// Reads a step from "/forms/KIND/STEP"; its kind is the first match of the
// path.
result<form_submission> read_submission(const httplib::Request& request);

} // namespace crowlink::internal
