#include "log_payload.hpp"

#include "wire_convert.hpp"

#include <utility>

namespace crowlink::replication::internal
{

result<log_payload> decode_payload(std::string_view bytes)
{
    wire::DocumentChange in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    {
        return fail(error_kind::invalid, "log entry", "does not parse");
    }
    if (!in.has_evacuation())
    {
        return from_wire(std::move(in));
    }
    const wire::EvacuationChange& order = in.evacuation();
    return evacuation_change{place_id(order.place()), order.evacuates(),
                             order.base(), order.operator_name(),
                             order.ordered_at_ms()};
}

std::string encode_evacuation(const evacuation_change& change)
{
    wire::DocumentChange out;
    wire::EvacuationChange& order = *out.mutable_evacuation();
    order.set_place(change.where.value());
    order.set_evacuates(change.evacuates);
    order.set_base(change.base);
    order.set_operator_name(change.operator_name);
    order.set_ordered_at_ms(change.ordered_at_ms);
    return out.SerializeAsString();
}

} // namespace crowlink::replication::internal
