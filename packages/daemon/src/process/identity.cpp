#include "process/identity.hpp"

#include "crowlink/transport/key_file.hpp"

namespace crowlink::internal
{

namespace
{

constexpr const char* node_suffix = "/node";
constexpr const char* balancer_suffix = "/balancer";
constexpr const char* agent_suffix = "/agent";
constexpr const char* relay_suffix = "/relay";

const char* role_suffix(const daemon_settings& settings)
{
    if (settings.balancer)
    {
        return balancer_suffix;
    }
    return settings.operator_relay ? relay_suffix : agent_suffix;
}

result<datagram_key> load_packet_key(const std::string& file)
{
    const result<packet_key> found = read_packet_key_file(file);
    if (!found)
    {
        return tl::unexpected(found.error());
    }
    return datagram_key{found->number, found->bytes};
}

result<key_ring> load_packet_keys(const std::vector<std::string>& files)
{
    key_ring ring;
    for (std::size_t at = 0; at < files.size(); ++at)
    {
        const result<datagram_key> key = load_packet_key(files[at]);
        if (!key)
        {
            return tl::unexpected(key.error());
        }
        if (at == 0)
        {
            ring.signing = *key;
        }
        else
        {
            ring.accepted = *key;
        }
    }
    if (ring.accepted && ring.accepted->id == ring.signing.id)
    {
        return fail(error_kind::invalid, files.back(),
                    "has the number of the signing key; allowed: another one");
    }
    return ring;
}

result<key_grants> load_grants(const std::string& file)
{
    key_grants::result_type loaded = key_grants::load(file);
    if (loaded)
    {
        return *loaded;
    }
    std::string all;
    for (const error& each : loaded.error())
    {
        all += (all.empty() ? "" : "; ") + to_string(each);
    }
    return fail(error_kind::invalid, file, all);
}

} // namespace

result<identity> load_identity(const daemon_settings& settings)
{
    identity loaded;
    if (!settings.keys)
    {
        return loaded;
    }
    const result<curve_key_pair> pair = read_curve_key_file(settings.keys->own);
    if (!pair)
    {
        return tl::unexpected(pair.error());
    }
    loaded.pair = *pair;
    if (!settings.keys->allowed.empty())
    {
        const result<key_grants> grants = load_grants(settings.keys->allowed);
        if (!grants)
        {
            return tl::unexpected(grants.error());
        }
        loaded.grants = *grants;
    }
    const result<key_ring> ring = load_packet_keys(settings.keys->packet);
    if (!ring)
    {
        return tl::unexpected(ring.error());
    }
    loaded.packet_keys = *ring;
    return loaded;
}

host_id node_name(const daemon_settings& settings)
{
    if (settings.seeds)
    {
        // Each role is a process of its own, and the bare name is that of the
        // control host at this address.
        return host_id(settings.host.name.value() + role_suffix(settings));
    }
    return settings.control ? host_id(settings.host.name.value() + node_suffix)
                            : settings.host.name;
}

host_id host_of(const host_id& node)
{
    return host_id(node.value().substr(0, node.value().find('/')));
}

} // namespace crowlink::internal
