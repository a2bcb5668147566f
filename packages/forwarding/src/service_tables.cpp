#include "crowlink/forwarding/service_tables.hpp"

namespace crowlink
{

namespace
{

// The heap memory of a string, in bytes.
std::size_t heap_bytes(const std::string& text)
{
    static const std::size_t inline_capacity = std::string().capacity();
    return text.capacity() > inline_capacity ? text.capacity() + 1 : 0;
}

std::size_t heap_bytes(const std::vector<upstream_record>& records)
{
    std::size_t total = records.capacity() * sizeof(upstream_record);
    for (const upstream_record& record : records)
    {
        total += heap_bytes(record.id.value());
        total += heap_bytes(record.where.value());
    }
    return total;
}

std::size_t heap_bytes(const service& declared)
{
    std::size_t total = heap_bytes(declared.name);
    total += declared.addresses.capacity() * sizeof(endpoint);
    total += declared.kinds.capacity() * sizeof(request_kind);
    for (const request_kind& kind : declared.kinds)
    {
        total += heap_bytes(kind.name);
    }
    return total;
}

std::size_t table_bytes(const std::shared_ptr<const forwarding_table>& table)
{
    return table ? table->memory() : 0;
}

} // namespace

std::size_t service_tables::memory() const
{
    return sizeof *this + sizeof(service_view) + heap_bytes(view->declared) +
           heap_bytes(view->members) + heap_bytes(departed) +
           table_bytes(current) + table_bytes(previous);
}

} // namespace crowlink
