#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/model/upstream_record.hpp"

#include <compare>

namespace crowlink::internal
{

// Identifies a record by its service or balancer group and its id.
struct record_key
{
    service_id service;
    upstream_id id;

    friend auto operator<=>(const record_key&, const record_key&) = default;
};

inline record_key key_of(const upstream_record& record)
{
    return record_key{record.service, record.id};
}

} // namespace crowlink::internal
