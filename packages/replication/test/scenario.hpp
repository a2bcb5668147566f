#pragma once

#include "fake_cluster.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace crowlink::replication
{

// Whether every host that is up has applied this version.
bool everywhere(const fake_cluster& cluster, std::uint64_t version);

// Runs until there is a leader that has committed all that it holds.
std::size_t settle(fake_cluster& cluster);

// Makes so many versions one after the other; the operations are named by the
// prefix and the base version.
void make_versions(fake_cluster& cluster, std::uint64_t count,
                   const std::string& prefix);

// Runs until the operation is answered.
change_outcome wait_for(fake_cluster& cluster, const std::string& operation);

// Makes the host a voter with the disk that it has now.
void admit_voter(fake_cluster& cluster, std::size_t host);

} // namespace crowlink::replication
