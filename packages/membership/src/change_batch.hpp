#pragma once

#include "crowlink/membership/observed_record.hpp"

#include <membership.pb.h>

#include <cstddef>
#include <vector>

namespace crowlink::internal
{

// Collects records for other observers into messages of bounded size.
class change_batch
{
public:
    explicit change_batch(std::size_t records_per_message)
        : m_limit(records_per_message)
    {
    }

    void add(const observed_record& held, time_point now);

    std::vector<wire::membership_message> take()
    {
        return std::move(m_messages);
    }

private:
    std::size_t m_limit;
    std::vector<wire::membership_message> m_messages;
};

} // namespace crowlink::internal
