#include "sessions.hpp"

#include "random_text.hpp"

#include <charconv>
#include <fmt/format.h>
#include <span>
#include <stdexcept>

namespace crowlink::internal
{

namespace
{

constexpr std::size_t max_session_bytes = 512;

std::span<const unsigned char> bytes_of(std::string_view text)
{
    return {reinterpret_cast<const unsigned char*>(text.data()), text.size()};
}

bool equal(std::string_view first, std::string_view second)
{
    return first.size() == second.size() &&
           sodium_memcmp(first.data(), second.data(), first.size()) == 0;
}

std::optional<std::string> from_hex(std::string_view digits)
{
    std::string text(digits.size() / 2, '\0');
    std::size_t length = 0;
    const int fault = sodium_hex2bin(
        reinterpret_cast<unsigned char*>(text.data()), text.size(),
        digits.data(), digits.size(), nullptr, &length, nullptr);
    if (fault != 0 || length != text.size())
    {
        return std::nullopt;
    }
    return text;
}

} // namespace

sessions::sessions(const operator_tokens& tokens, duration lifetime)
    : m_tokens(tokens), m_lifetime(lifetime)
{
    if (sodium_init() < 0)
    {
        throw std::runtime_error("libsodium cannot be initialised");
    }
    crypto_auth_keygen(m_key.data());
}

std::string sessions::sign(std::string_view text) const
{
    std::array<unsigned char, crypto_auth_BYTES> mark{};
    const auto bytes = bytes_of(text);
    crypto_auth(mark.data(), bytes.data(), bytes.size(), m_key.data());
    return to_hex(mark);
}

// "<name in hex>.<end in nanoseconds>.<signature of both>"
std::string sessions::open(const std::string& name, time_point now) const
{
    const auto end = (now + m_lifetime).time_since_epoch().count();
    const auto text = fmt::format("{}.{}", to_hex(bytes_of(name)), end);
    return fmt::format("{}.{}", text, sign(text));
}

std::optional<std::string> sessions::find(std::string_view session,
                                          time_point now) const
{
    const auto last = session.rfind('.');
    const auto first = session.find('.');
    if (session.size() > max_session_bytes || first == last)
    {
        return std::nullopt;
    }
    if (!equal(session.substr(last + 1), sign(session.substr(0, last))))
    {
        return std::nullopt;
    }
    std::int64_t end = 0;
    std::from_chars(session.data() + first + 1, session.data() + last, end);
    auto name = from_hex(session.substr(0, first));
    if (now.time_since_epoch().count() >= end || !name ||
        !m_tokens.lists(*name))
    {
        return std::nullopt;
    }
    return name;
}

std::string sessions::form_token(std::string_view session) const
{
    // The prefix keeps it apart from the signature of a session.
    return sign(fmt::format("form:{}", session));
}

bool sessions::is_form_token(std::string_view session,
                             std::string_view token) const
{
    return equal(token, form_token(session));
}

} // namespace crowlink::internal
