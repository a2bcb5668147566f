#include "control/reach_controller.hpp"

#include "control/place_names.hpp"

#include <membership.pb.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace crowlink::internal
{

namespace
{

constexpr std::size_t batch_probes = 32;
constexpr std::size_t probe_bytes = 64;
// What one round reads at most, so that time is looked at.
constexpr int batches_a_round = 8;

std::span<const std::uint8_t> bytes_of(const std::string& text)
{
    return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

std::optional<wire::place_probe> read(std::span<const std::uint8_t> bytes)
{
    wire::place_probe probe;
    if (!probe.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    {
        return std::nullopt;
    }
    return probe;
}

std::string probe_text(std::uint32_t number, bool is_answer)
{
    wire::place_probe probe;
    probe.set_number(number);
    probe.set_is_answer(is_answer);
    return probe.SerializeAsString();
}

} // namespace

reach_controller::reach_controller(udp_socket answering, udp_socket asking,
                                   place_id own, log_sink& log)
    : m_answering(std::move(answering))
    , m_asking(std::move(asking))
    , m_own(std::move(own))
    , m_log(log)
    , m_received(batch_probes, probe_bytes)
{
}

result<std::unique_ptr<reach_controller>>
reach_controller::open(const daemon_settings& settings, log_sink& log)
{
    const endpoint listen = *settings.reach_listen;
    auto answering = udp_socket::bind(listen);
    if (!answering)
    {
        return tl::unexpected(answering.error());
    }
    endpoint from = listen;
    --from.port;
    auto asking = udp_socket::bind(from);
    if (!asking)
    {
        return tl::unexpected(asking.error());
    }
    return std::unique_ptr<reach_controller>(new reach_controller(
        std::move(*answering), std::move(*asking), settings.host.place, log));
}

// What has arrived is read before time is looked at: after a pause of this
// process the answers are there.
void reach_controller::advance(time_point now, blackboard& board)
{
    answer_others();
    take_answers();
    if (m_views.changed(board.views))
    {
        follow_hosts(board.views.get());
    }
    for (const place_probe& each : m_watch.tick(now))
    {
        // What the kernel does not take is lost, as on any network.
        (void)m_asking.send(bytes_of(probe_text(each.number, false)), each.to);
    }
    tell(unreachable_places{m_watch.unreachable(), m_watch.given_up()}, board);
}

void reach_controller::answer_others()
{
    for (int round = 0; round < batches_a_round; ++round)
    {
        const std::size_t count = m_answering.receive(m_received);
        for (std::size_t at = 0; at < count; ++at)
        {
            const auto asked = read(m_received.bytes(at));
            if (asked && !asked->is_answer())
            {
                (void)m_answering.send(
                    bytes_of(probe_text(asked->number(), true)),
                    m_received.peer(at));
            }
        }
        if (count < m_received.capacity())
        {
            return;
        }
    }
}

void reach_controller::take_answers()
{
    for (int round = 0; round < batches_a_round; ++round)
    {
        const std::size_t count = m_asking.receive(m_received);
        for (std::size_t at = 0; at < count; ++at)
        {
            const auto told = read(m_received.bytes(at));
            if (told && told->is_answer())
            {
                m_watch.answered(told->number());
            }
        }
        if (count < m_received.capacity())
        {
            return;
        }
    }
}

// The hosts of agents are asked: there are many, and all of them are known.
void reach_controller::follow_hosts(const service_views& views)
{
    place_watch::hosts_type hosts;
    for (const auto& [id, view] : views)
    {
        for (const upstream_record& member : view->members)
        {
            if (member.where != m_own)
            {
                hosts[member.where].push_back(
                    endpoint{member.agent.address, m_answering.local().port});
            }
        }
    }
    m_watch.set_hosts(hosts);
}

void reach_controller::tell(unreachable_places next, blackboard& board)
{
    if (next == board.unreachable.get())
    {
        return;
    }
    m_log.write(log_line(log_level::warning, "unreachable_places")
                    .field("places", names_of(next.all))
                    .field("given_up", names_of(next.given_up)));
    board.unreachable.set(std::move(next));
}

} // namespace crowlink::internal
