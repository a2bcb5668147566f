#include "crowlink/requests/at_most_once.hpp"

#include "session_table.hpp"

namespace crowlink
{

at_most_once::at_most_once(incarnation own, const memory_limits& limits)
    : m_table(std::make_unique<internal::session_table>(own, limits))
{
}

at_most_once::at_most_once(at_most_once&&) noexcept = default;
at_most_once& at_most_once::operator=(at_most_once&&) noexcept = default;
at_most_once::~at_most_once() = default;

std::optional<ticket> at_most_once::open(time_point now, std::uint64_t secret)
{
    return m_table->open(now, secret);
}

sequence_lookup at_most_once::look_up(time_point now,
                                      const ticket& session_ticket,
                                      std::uint64_t sequence,
                                      std::uint64_t settled_below)
{
    return m_table->look_up(now, session_ticket, sequence, settled_below);
}

const request_answer* at_most_once::finish(std::uint64_t session,
                                           std::uint64_t sequence,
                                           request_answer answer)
{
    return m_table->finish(session, sequence, std::move(answer));
}

std::size_t at_most_once::sessions() const
{
    return m_table->size();
}

std::size_t at_most_once::answer_bytes() const
{
    return m_table->answer_bytes();
}

} // namespace crowlink
