#include "crowlink/settings/key_grants.hpp"

#include "document_file.hpp"
#include "object_reader.hpp"

#include <limits>

namespace crowlink
{

namespace
{

constexpr internal::choice<node_role> role_names[] = {
    {"control", node_role::control_node},
    {"balancer", node_role::balancer_node},
    {"agent", node_role::agent_node},
};
constexpr std::size_t public_key_length = 40;

bool by_key(const key_grant& first, const key_grant& second)
{
    return first.public_key < second.public_key;
}

std::vector<node_role> read_roles(internal::object_reader& reader)
{
    std::vector<node_role> roles;
    for (const std::string& text : reader.texts("roles", 1))
    {
        const auto* found =
            std::find_if(std::begin(role_names), std::end(role_names),
                         [&text](const internal::choice<node_role>& each)
                         { return each.name == text; });
        if (found == std::end(role_names))
        {
            reader.refuse("roles", "found \"" + text +
                                       "\"; allowed: control, balancer, agent");
            continue;
        }
        roles.push_back(found->value);
    }
    return roles;
}

key_grant read_grant(internal::object_reader& reader)
{
    key_grant grant;
    grant.public_key = reader.text("public_key");
    if (!grant.public_key.empty() &&
        grant.public_key.size() != public_key_length)
    {
        reader.refuse("public_key", "found \"" + grant.public_key +
                                        "\"; allowed: 40 characters of Z85");
    }
    grant.holder = host_id(reader.text("holder"));
    grant.roles = read_roles(reader);
    for (const std::uint32_t number : reader.numbers(
             "services", 1, std::numeric_limits<std::uint32_t>::max()))
    {
        grant.services.emplace_back(number);
    }
    grant.revoked = reader.flag("revoked", false);
    return grant;
}

} // namespace

key_grants::key_grants(std::vector<key_grant> grants)
    : m_grants(std::move(grants))
{
    std::sort(m_grants.begin(), m_grants.end(), by_key);
}

key_grants::result_type key_grants::parse(std::string_view text,
                                          const std::string& file)
{
    std::vector<error> errors;
    const nlohmann::json parsed = internal::parse_document(text, file, errors);
    if (!errors.empty())
    {
        return tl::unexpected(std::move(errors));
    }
    internal::object_reader reader(parsed, file, "", errors);
    key_grants grants(reader.objects("keys", read_grant));
    reader.finish();
    for (std::size_t at = 1; at < grants.m_grants.size(); ++at)
    {
        const std::string& key = grants.m_grants[at].public_key;
        if (!key.empty() && key == grants.m_grants[at - 1].public_key)
        {
            reader.refuse("keys", "found key \"" + key +
                                      "\" twice; allowed: each key once");
        }
    }
    if (!errors.empty())
    {
        return tl::unexpected(std::move(errors));
    }
    return grants;
}

key_grants::result_type key_grants::load(const std::string& file)
{
    const result<std::string> text = internal::read_file(file);
    if (!text)
    {
        return tl::unexpected(std::vector<error>{text.error()});
    }
    return parse(*text, file);
}

const key_grant* key_grants::find(std::string_view public_key) const
{
    const auto found =
        std::lower_bound(m_grants.begin(), m_grants.end(), public_key,
                         [](const key_grant& grant, std::string_view key)
                         { return grant.public_key < key; });
    const bool known =
        found != m_grants.end() && found->public_key == public_key;
    return known ? &*found : nullptr;
}

} // namespace crowlink
