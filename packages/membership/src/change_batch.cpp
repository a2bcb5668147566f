#include "change_batch.hpp"

#include "member_codec.hpp"

namespace crowlink::internal
{

void change_batch::add(const observed_record& held, time_point now)
{
    const bool full =
        m_messages.empty() ||
        m_messages.back().changes().members_size() >= static_cast<int>(m_limit);
    if (full)
    {
        m_messages.emplace_back();
    }
    auto& body = *m_messages.back().mutable_changes();
    auto& member = *body.add_members();
    write_member(held.record, *body.mutable_places(), member);
    member.set_home(index_of(*body.mutable_homes(), held.home.value()));
    if (held.record.state == upstream_state::gone)
    {
        const auto gone_for = std::chrono::duration_cast<std::chrono::seconds>(
            now - held.gone_at);
        member.set_gone_for(static_cast<std::uint32_t>(gone_for.count()));
    }
}

} // namespace crowlink::internal
