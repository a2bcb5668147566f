#pragma once

#include "storage_thread.hpp"

#include "crowlink/replication/replicated_document.hpp"

#include <cstddef>
#include <deque>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace crowlink::replication
{

// Control hosts in one process: messages pass through the codec and a queue,
// every host syncs to a folder of its own. Time moves only until there is a
// leader.
class loopback_cluster
{
public:
    loopback_cluster(std::size_t voters, const std::filesystem::path& folder);

    // Proposes changes of this size, so many at one time, and returns when all
    // are answered.
    void change(std::size_t in_flight, std::size_t bytes);

    std::uint64_t failures() const { return m_failures; }

private:
    struct node
    {
        std::unique_ptr<storage_thread> storage;
        std::unique_ptr<replicated_document> document;
    };

    void handle(std::size_t host, const document_event& event);
    void drain();
    void elect();
    bool has_leader();

    completion_queue m_done;
    std::vector<node> m_nodes;
    std::deque<std::string> m_network;
    time_point m_now;
    std::size_t m_leader = 0;
    std::size_t m_writes_out = 0;
    std::size_t m_answers = 0;
    std::uint64_t m_failures = 0;
    std::uint64_t m_next = 1;
};

} // namespace crowlink::replication
