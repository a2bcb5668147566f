#pragma once

#include "fake_cluster.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace crowlink::replication
{

// Whether every running host has applied exactly this version.
bool all_applied(const fake_cluster& cluster, std::uint64_t version);

// Runs until a leader has committed its whole log; returns its number.
std::size_t wait_for_leader(fake_cluster& cluster);

// Applies this many versions in succession; the operation ids consist of the
// prefix and the base version.
void make_versions(fake_cluster& cluster, std::uint64_t count,
                   const std::string& prefix);

// Runs until the operation is answered, and returns the answer.
change_outcome wait_for(fake_cluster& cluster, const std::string& operation);

// Makes the host a voter with its present disk.
void admit_voter(fake_cluster& cluster, std::size_t host);

} // namespace crowlink::replication
