#pragma once

#include "crowlink/base/ids.hpp"

#include <concepts>

namespace crowlink
{

// The identity of a peer as authenticated by the transport: the name of its
// key.
using key_identity = typed_id<struct key_identity_tag, std::string>;

// Decides which services a key may announce. Balancer groups count as services,
// see balancer_group.
template <class Policy>
concept announcement_policy = requires(const Policy& policy,
                                       const key_identity& key,
                                       service_id service)
{
    {
        policy.may_announce(key, service)
        } -> std::same_as<bool>;
};

// Allows every key to announce every service, for a system without keys.
struct open_announcement_policy
{
    bool may_announce(const key_identity& /*key*/, service_id /*service*/) const
    {
        return true;
    }
};

static_assert(announcement_policy<open_announcement_policy>,
              "the open policy must satisfy the policy concept");

} // namespace crowlink
