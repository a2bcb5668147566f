#include "crowlink/console/mint_operation_id.hpp"
#include "crowlink/console/minted_token.hpp"
#include "crowlink/console/operator_tokens.hpp"
#include "crowlink/document/strict_json.hpp"
#include "random_text.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sodium.h>
#include <sstream>

namespace crowlink
{

namespace
{

using nlohmann::json;

constexpr std::size_t hash_bytes = crypto_generichash_BYTES;
constexpr std::size_t hash_digits = 2 * hash_bytes;
constexpr std::size_t max_token_bytes = 1024;
constexpr std::size_t max_operation_id_bytes = 64;
constexpr std::size_t max_name_bytes = 63;

bool is_hash(const std::string& text)
{
    const auto is_digit = [](char letter)
    {
        return (letter >= '0' && letter <= '9') ||
               (letter >= 'a' && letter <= 'f');
    };
    return text.size() == hash_digits &&
           std::all_of(text.begin(), text.end(), is_digit);
}

bool has_exactly(const json& object, std::initializer_list<const char*> names)
{
    if (!object.is_object() || object.size() != names.size())
    {
        return false;
    }
    return std::all_of(names.begin(), names.end(),
                       [&object](const char* name)
                       { return object.contains(name); });
}

bool is_entry(const json& item)
{
    if (!has_exactly(item, {"name", "token_hash"}) ||
        !item.at("name").is_string() || !item.at("token_hash").is_string())
    {
        return false;
    }
    const auto& name = item.at("name").get_ref<const std::string&>();
    return !name.empty() && name.size() <= max_name_bytes &&
           is_hash(item.at("token_hash").get_ref<const std::string&>());
}

} // namespace

minted_token mint_token()
{
    constexpr std::size_t token_bytes = 32;
    const auto token = "crow_" + internal::random_hex(token_bytes);
    return {token, hash_token(token)};
}

std::string hash_token(const std::string& token)
{
    std::array<unsigned char, hash_bytes> hash{};
    crypto_generichash(hash.data(), hash.size(),
                       reinterpret_cast<const unsigned char*>(token.data()),
                       token.size(), nullptr, 0);
    return internal::to_hex(hash);
}

operation_id mint_operation_id()
{
    constexpr std::size_t id_bytes = 16;
    return operation_id(internal::random_hex(id_bytes));
}

bool is_operation_id(std::string_view text)
{
    const auto allowed = [](char letter)
    {
        return (letter >= 'a' && letter <= 'z') ||
               (letter >= 'A' && letter <= 'Z') ||
               (letter >= '0' && letter <= '9') || letter == '-' ||
               letter == '_' || letter == '.';
    };
    return !text.empty() && text.size() <= max_operation_id_bytes &&
           std::all_of(text.begin(), text.end(), allowed);
}

result<operator_tokens> operator_tokens::parse(std::string_view text,
                                               const std::string& place)
{
    const auto value = parse_strict_json(text);
    if (!value)
    {
        return fail(error_kind::invalid, place, value.error().to_string());
    }
    if (!has_exactly(*value, {"operators"}) ||
        !value->at("operators").is_array())
    {
        return fail(error_kind::invalid, place,
                    "must be an object with a list named operators");
    }
    operator_tokens tokens;
    std::size_t index = 0;
    for (const auto& item : value->at("operators"))
    {
        const auto path = place + ": /operators/" + std::to_string(index++);
        if (!is_entry(item))
        {
            return fail(error_kind::invalid, path,
                        "must have a name of 1 to 63 bytes and a token_hash "
                        "of 64 hex digits in lower case, and nothing else");
        }
        const auto name = item.at("name").get<std::string>();
        if (tokens.lists(name))
        {
            return fail(error_kind::invalid, path, "names must be unique");
        }
        tokens.m_entries.push_back(
            {name, item.at("token_hash").get<std::string>()});
    }
    return tokens;
}

result<operator_tokens> operator_tokens::load(const std::filesystem::path& file)
{
    using std::filesystem::perms;
    std::error_code fault;
    const auto mode = std::filesystem::status(file, fault).permissions();
    if (fault)
    {
        return fail(error_kind::storage, file.string(), fault.message());
    }
    if ((mode & (perms::group_write | perms::others_write)) != perms::none)
    {
        return fail(error_kind::invalid, file.string(),
                    "must not be writable by group or others");
    }
    std::ifstream stream(file);
    std::stringstream text;
    text << stream.rdbuf();
    if (!stream)
    {
        return fail(error_kind::storage, file.string(), "cannot be read");
    }
    return parse(text.str(), file.string());
}

std::optional<std::string> operator_tokens::find(const std::string& token) const
{
    if (token.empty() || token.size() > max_token_bytes)
    {
        return std::nullopt;
    }
    const auto hash = hash_token(token);
    std::optional<std::string> found;
    for (const auto& item : m_entries)
    {
        if (sodium_memcmp(item.hash.data(), hash.data(), hash_digits) == 0)
        {
            found = item.name;
        }
    }
    return found;
}

bool operator_tokens::lists(std::string_view name) const
{
    return std::any_of(m_entries.begin(), m_entries.end(),
                       [name](const entry& item) { return item.name == name; });
}

} // namespace crowlink
