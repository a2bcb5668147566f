#include "crowlink/console/console.hpp"

#include "console_server.hpp"

namespace crowlink
{

console::console(const console_settings& settings,
                 std::unique_ptr<internal::backend_port> backend)
    : m_server(std::make_unique<internal::console_server>(settings,
                                                          std::move(backend)))
{
}

console::~console() = default;

result<endpoint> console::start()
{
    return m_server->start();
}

void console::stop()
{
    m_server->stop();
}

} // namespace crowlink
