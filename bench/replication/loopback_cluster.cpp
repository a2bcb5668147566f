#include "loopback_cluster.hpp"

#include "crowlink/replication/message_codec.hpp"

#include <utility>

namespace crowlink::replication
{

namespace
{

constexpr duration time_step = std::chrono::milliseconds(20);

host_id name_of(std::size_t host)
{
    return host_id(std::to_string(host));
}

} // namespace

loopback_cluster::loopback_cluster(std::size_t voters,
                                   const std::filesystem::path& folder)
    : m_nodes(voters)
{
    replica_settings settings;
    for (std::size_t i = 0; i < voters; ++i)
    {
        settings.founding_voters.push_back(name_of(i));
    }
    settings.peers = settings.founding_voters;
    for (std::size_t i = 0; i < voters; ++i)
    {
        settings.self = name_of(i);
        m_nodes[i].storage = std::make_unique<storage_thread>(
            folder / std::to_string(i), i, m_done);
        m_nodes[i].document = std::make_unique<replicated_document>(
            settings, m_nodes[i].storage->take_restored(), m_now,
            seeded_random(i));
        m_nodes[i].document->start();
    }
    elect();
}

void loopback_cluster::handle(std::size_t host, const document_event& event)
{
    for (document_effect& effect : m_nodes[host].document->handle(m_now, event))
    {
        if (auto* sent = std::get_if<send_message>(&effect))
        {
            m_network.push_back(encode_message(sent->message));
        }
        else if (auto* kept = std::get_if<persist>(&effect))
        {
            ++m_writes_out;
            m_nodes[host].storage->write(std::move(kept->request));
        }
        else if (const auto* answer = std::get_if<change_answered>(&effect))
        {
            ++m_answers;
            const bool taken =
                answer->outcome.result == change_result::applied ||
                answer->outcome.result == change_result::conflict;
            m_failures += taken ? 0 : 1;
        }
    }
}

// Delivers messages and completions until nothing is under way.
void loopback_cluster::drain()
{
    while (!m_network.empty() || m_writes_out > 0)
    {
        if (!m_network.empty())
        {
            const auto message = decode_message(m_network.front());
            m_network.pop_front();
            // Peers of itself are in the list; the core ignores them.
            handle(std::stoul(message->to.value()), message_received{*message});
            continue;
        }
        const completion_queue::completion done = m_done.pop();
        --m_writes_out;
        handle(done.host, storage_done{done.sequence});
    }
}

bool loopback_cluster::has_leader()
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
    {
        if (m_nodes[i].document->can_read(m_now))
        {
            m_leader = i;
            return true;
        }
    }
    return false;
}

void loopback_cluster::elect()
{
    while (!has_leader())
    {
        m_now += time_step;
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
        {
            handle(i, tick{});
        }
        drain();
    }
}

void loopback_cluster::change(std::size_t in_flight, std::size_t bytes)
{
    m_answers = 0;
    const config_version base =
        m_nodes[m_leader].document->store().current_version();
    for (std::size_t i = 0; i < in_flight; ++i)
    {
        const std::uint64_t number = m_next++;
        handle(m_leader,
               propose_change{
                   number, document_change{config_version(base.value() + i),
                                           operation_id(std::to_string(number)),
                                           "bench", std::string(bytes, 'x')}});
    }
    while (m_answers < in_flight)
    {
        drain();
    }
}

} // namespace crowlink::replication
