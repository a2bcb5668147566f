#pragma once

#include <cstdint>

namespace crowlink
{

// The kind of the requests that a route carries.
enum class request_class : std::uint8_t
{
    // Idempotent, with a small body and a small answer.
    safe,
    // Runs at most once, with a small body and a small answer.
    non_idempotent,
    // Idempotent, with a large answer.
    download,
    // Runs at most once, with a large body.
    upload,
};

constexpr request_class last_request_class = request_class::upload;

// What the class of a request implies for those who carry it.
struct request_traits
{
    // Whether it may be repeated after any failure. Others are repeated only
    // where they have surely not run.
    bool is_idempotent = false;
    // Whether its body is many times as large as a packet, so that the links
    // on the way from the caller bound how many fit.
    bool has_large_body = false;
    bool has_large_answer = false;

    friend bool operator==(const request_traits&,
                           const request_traits&) = default;
};

constexpr request_traits traits_of(request_class requests)
{
    switch (requests)
    {
    case request_class::safe:
        return request_traits{.is_idempotent = true};
    case request_class::non_idempotent:
        return request_traits{};
    case request_class::download:
        return request_traits{.is_idempotent = true, .has_large_answer = true};
    case request_class::upload:
        return request_traits{.has_large_body = true};
    }
    return request_traits{};
}

} // namespace crowlink
