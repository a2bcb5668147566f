#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace crowlink
{

// The class of an error; it decides exit codes and HTTP status.
enum class error_kind : std::uint8_t
{
    // The input breaks a rule; sending it again will fail again.
    invalid,
    // The input was made from a version that is no longer the current one.
    conflict,
    // The thing that was named does not exist.
    not_found,
    // The caller may not do this.
    forbidden,
    // Not possible now, for example without a quorum; it may work later.
    unavailable,
    // A file or disk failed, or holds damaged data.
    storage,
};

std::string_view to_string(error_kind kind);

// What went wrong, where and by which rule. `place` is a file, a path in a
// document or an address; it is empty where nothing narrower is known.
struct error
{
    error_kind kind = error_kind::invalid;
    std::string place;
    std::string message;

    friend auto operator<=>(const error&, const error&) = default;
};

// "place: message", or the message alone without a place.
std::string to_string(const error& value);

// A value, or the error that prevented it.
template <class Value>
using result = tl::expected<Value, error>;

// Shorthand to return an error from a function that yields a result.
inline tl::unexpected<error> fail(error_kind kind, std::string place,
                                  std::string message)
{
    return tl::unexpected<error>(
        error{kind, std::move(place), std::move(message)});
}

} // namespace crowlink
