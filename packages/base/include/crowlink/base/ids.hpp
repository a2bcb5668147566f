#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace crowlink
{

// A value that identifies one kind of thing. Two identifiers of different
// kinds do not convert into each other, whatever their representation.
template <class Tag, class Representation>
class typed_id
{
public:
    using representation = Representation;

    typed_id() = default;
    explicit typed_id(Representation value) : m_value(std::move(value)) {}

    const Representation& value() const { return m_value; }

    friend auto operator<=>(const typed_id&, const typed_id&) = default;

private:
    Representation m_value{};
};

// A machine that runs one of our processes.
using host_id = typed_id<struct host_tag, std::string>;
// A data centre.
using place_id = typed_id<struct place_tag, std::string>;
// A group of places with a common network.
using region_id = typed_id<struct region_tag, std::string>;
// The number that the operators' document gives to a service; never reused.
using service_id = typed_id<struct service_tag, std::uint32_t>;
// The name under which a back end announces itself, unique in the system.
using upstream_id = typed_id<struct upstream_id_tag, std::string>;
// Drawn anew by each start of an agent process, and rising over restarts.
using incarnation = typed_id<struct incarnation_tag, std::uint64_t>;
// The version of the operators' document; it only rises.
using config_version = typed_id<struct config_version_tag, std::uint64_t>;
// Chosen by an operator's client for one change; a resend carries it again.
using operation_id = typed_id<struct operation_tag, std::string>;

} // namespace crowlink

template <class Tag, class Representation>
struct std::hash<crowlink::typed_id<Tag, Representation>>
{
    std::size_t
    operator()(const crowlink::typed_id<Tag, Representation>& id) const
    {
        return std::hash<Representation>{}(id.value());
    }
};
