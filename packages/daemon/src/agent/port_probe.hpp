#pragma once

#include "crowlink/base/endpoint.hpp"

#include <cstdint>

namespace crowlink::internal
{

// Asks a TCP port on this host whether anyone listens, without waiting: a
// refusal proves that the process which served it has ended.
class port_probe
{
public:
    enum class answer : std::uint8_t
    {
        none,
        listens,
        refuses,
    };

    port_probe() = default;
    port_probe(const port_probe&) = delete;
    port_probe& operator=(const port_probe&) = delete;
    ~port_probe();

    // Begins anew; an earlier question is dropped.
    void ask(const endpoint& address);
    // What is known of the question by now; each answer is given once.
    answer take();

private:
    void close();

    int m_handle = -1;
    bool m_is_refused = false;
};

} // namespace crowlink::internal
