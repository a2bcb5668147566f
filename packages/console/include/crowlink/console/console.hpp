#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/error.hpp"
#include "crowlink/console/backend_port.hpp"
#include "crowlink/console/console_settings.hpp"

#include <memory>

namespace crowlink
{

namespace internal
{
class console_server;
}

// Serves operators over HTTP with threads of its own. The backend must outlive
// it.
//
//   console server(settings, backend);
//   auto where = server.start();
class console
{
public:
    template <operator_backend Backend>
    console(const console_settings& settings, Backend& backend)
        : console(settings,
                  std::make_unique<internal::bound_backend<Backend>>(backend))
    {
    }
    console(const console&) = delete;
    console& operator=(const console&) = delete;
    // Stops.
    ~console();

    // Reads the files, binds and serves; yields the address that was bound.
    // Fails if a file or the address cannot be used. Call it once.
    result<endpoint> start();

    // Answers what has been taken, then stops. Idempotent.
    void stop();

private:
    console(const console_settings& settings,
            std::unique_ptr<internal::backend_port> backend);

    std::unique_ptr<internal::console_server> m_server;
};

} // namespace crowlink
