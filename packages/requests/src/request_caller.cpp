#include "crowlink/requests/request_caller.hpp"

#include "caller_core.hpp"

namespace crowlink
{

request_caller::request_caller(const caller_settings& settings,
                               seeded_random random)
    : m_core(std::make_unique<internal::caller_core>(settings, random))
{
}

request_caller::request_caller(request_caller&&) noexcept = default;
request_caller& request_caller::operator=(request_caller&&) noexcept = default;
request_caller::~request_caller() = default;

request_id request_caller::submit(time_point now, outgoing_request request,
                                  caller_effects& effects)
{
    return m_core->submit(now, std::move(request), effects);
}

void request_caller::cancel(time_point now, request_id id,
                            caller_effects& effects)
{
    m_core->cancel(now, id, effects);
}

void request_caller::receive(time_point now, path_index path,
                             std::string_view datagram, caller_effects& effects)
{
    m_core->receive(now, path, datagram, effects);
}

void request_caller::advance(time_point now, caller_effects& effects)
{
    m_core->advance(now, effects);
}

time_point request_caller::next_wakeup() const
{
    return m_core->next_wakeup();
}

std::size_t request_caller::outstanding() const
{
    return m_core->outstanding();
}

std::uint64_t request_caller::ignored() const
{
    return m_core->ignored();
}

} // namespace crowlink
