#pragma once

#include "crowlink/forwarding/candidate_chain.hpp"
#include "crowlink/model/service_view.hpp"

#include <concepts>
#include <cstdint>
#include <memory>

namespace crowlink
{

// A forwarding table as the agent uses it: built from a view, identified by
// its content, and giving each flow its candidates.
template <class Table>
concept table_source = requires(const Table& table, const service_view& view,
                                std::uint64_t flow_hash)
{
    {
        Table::build(view)
        } -> std::same_as<std::shared_ptr<const Table>>;
    {
        table.digest()
        } -> std::same_as<std::uint64_t>;
    {
        table.chain(flow_hash)
        } -> std::same_as<candidate_chain>;
};

} // namespace crowlink
