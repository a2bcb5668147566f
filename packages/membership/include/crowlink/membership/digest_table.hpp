#pragma once

#include "crowlink/base/ids.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace crowlink::internal
{

// The digests of a set of hashed items: sums of their hashes, in total, for
// each service and for each of 256 buckets. Sums can be updated item by item.
// Equal sums of XXH3 hashes mean equal sets with overwhelming probability.
class digest_table
{
public:
    static constexpr std::size_t bucket_count = 256;
    using bucket_array = std::array<std::uint64_t, bucket_count>;

    // Replaces the hash of one item; zero means that there is no item.
    void replace(service_id service, std::size_t bucket, std::uint64_t before,
                 std::uint64_t after);

    const bucket_array& buckets() const { return m_buckets; }

    // The same without balancer groups.
    const bucket_array& service_buckets() const { return m_service_buckets; }

    // The sum over all services without balancer groups.
    std::uint64_t services_total() const { return m_services_total; }

    // The sum over one service or balancer group.
    std::uint64_t of(service_id service) const;

private:
    bucket_array m_buckets{};
    bucket_array m_service_buckets{};
    std::uint64_t m_services_total = 0;
    std::unordered_map<service_id, std::uint64_t> m_sums;
};

// The bucket of a record, or of a service's declaration if the id is empty.
std::size_t bucket_of(service_id service, const upstream_id& id);

} // namespace crowlink::internal
