#pragma once

#include "crowlink/base/random.hpp"
#include "crowlink/document.hpp"

#include <string>

namespace crowlink
{

// A document that uses every field.
inline constexpr const char* full_document = R"({
  // The toy library's system.
  "regions": [{"name": "NCR", "places": ["quezon", "pasig", "makati"]}],
  "services": [
    {"id": 1, "name": "hiraman", "protocol": "udp",
     "addresses": ["127.0.0.1:7100", "[::1]:7100"],
     "goal": "continuity", "candidates": 2,
     "cold_start_s": 0.25, "silent_after_s": 60,
     "limits": {"slots": 8, "connections": 1000, "cold_flows_per_second": 30},
     "kinds": [{"name": "reserve", "weight": 2, "idempotent": false},
               {"name": "browse", "idempotent": true}]},
    {"id": 2, "name": "Bibliothèque", "protocol": "tcp",
     "addresses": ["127.0.0.1:7100"]}
  ],
  /* Under repair. */
  "drains": ["u1"]
})";

// A valid document in canonical order, drawn from a seeded generator.
inline system_document random_document(seeded_random& random)
{
    const auto draw = [&random](std::uint64_t below)
    {
        return static_cast<std::uint32_t>(random() % below);
    };
    system_document document;
    const auto places = 1 + draw(4);
    for (std::uint32_t index = 0; index < places; ++index)
    {
        document.places.push_back({place_id("p" + std::to_string(index)),
                                   region_id(index < 2 ? "a" : "b")});
    }
    for (std::uint32_t id = 1; id < 6; ++id)
    {
        if (draw(3) == 0)
        {
            continue;
        }
        service declared;
        declared.id = service_id(id);
        declared.name = "s" + std::to_string(id * 10 + draw(2));
        declared.protocol = draw(2) == 0 ? transport::udp : transport::tcp;
        const auto port = static_cast<std::uint16_t>(1000 + id * 4 + draw(2));
        declared.addresses = {*endpoint::parse("10.0.0.1:1"),
                              *endpoint::parse("[2001:db8::1]:1")};
        declared.addresses[0].port = port;
        declared.addresses[1].port = port;
        declared.limits = {1 + draw(8), 8 + draw(2000), draw(3)};
        declared.sharing.goal =
            draw(2) == 0 ? service_goal::balance : service_goal::continuity;
        declared.sharing.candidates = 1 + draw(4);
        declared.sharing.cold_start = std::chrono::milliseconds(draw(100000));
        for (std::uint32_t kind = 0; kind < draw(3); ++kind)
        {
            declared.kinds.push_back(
                {"k" + std::to_string(kind), 1 + draw(1000), draw(2) == 0});
        }
        document.services.push_back(declared);
    }
    for (std::uint32_t index = 0; index < draw(4); ++index)
    {
        document.drains.emplace_back("u" + std::to_string(index));
    }
    return document;
}

} // namespace crowlink
