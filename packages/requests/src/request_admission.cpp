#include "crowlink/requests/request_admission.hpp"

#include "admission_core.hpp"

namespace crowlink
{

request_admission::request_admission(const admission_settings& settings,
                                     incarnation own)
    : m_core(std::make_unique<internal::admission_core>(settings, own))
{
}

request_admission::request_admission(request_admission&&) noexcept = default;
request_admission&
request_admission::operator=(request_admission&&) noexcept = default;
request_admission::~request_admission() = default;

void request_admission::handle_datagram(time_point now, const flow_key& flow,
                                        std::string_view datagram,
                                        admission_effects& effects)
{
    m_core->handle_datagram(now, flow, datagram, effects);
}

void request_admission::handle_upstream(time_point now,
                                        std::string_view datagram,
                                        admission_effects& effects)
{
    m_core->handle_upstream(now, datagram, effects);
}

void request_admission::upstream_lost(admission_effects& effects)
{
    m_core->upstream_lost(effects);
}

void request_admission::upstream_ready(time_point now,
                                       admission_effects& effects)
{
    m_core->upstream_ready(now, effects);
}

void request_admission::drain()
{
    m_core->drain();
}

void request_admission::apply(time_point now,
                              const admission_settings& settings,
                              admission_effects& effects)
{
    m_core->apply(now, settings, effects);
}

void request_admission::advance(time_point now, admission_effects& effects)
{
    m_core->advance(now, effects);
}

time_point request_admission::next_wakeup() const
{
    return m_core->next_wakeup();
}

const admission_counts& request_admission::counts() const
{
    return m_core->counts();
}

} // namespace crowlink
