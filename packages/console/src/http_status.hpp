#pragma once

namespace crowlink::internal
{

// The HTTP statuses that the console answers with (RFC 9110).
inline constexpr int http_ok = 200;
inline constexpr int http_see_other = 303;
inline constexpr int http_bad_request = 400;
inline constexpr int http_unauthorized = 401;
inline constexpr int http_forbidden = 403;
inline constexpr int http_not_found = 404;
inline constexpr int http_conflict = 409;
inline constexpr int http_too_large = 413;
inline constexpr int http_unprocessable = 422;
inline constexpr int http_internal = 500;
inline constexpr int http_unavailable = 503;

// When to try again after 503, in seconds.
inline constexpr const char* retry_after_s = "1";

} // namespace crowlink::internal
