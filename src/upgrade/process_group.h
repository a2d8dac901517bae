// Tracks the processes of one workload manager during an upgrade: which of them are alive, which accept
// clients, and how much of the shared limits each one uses. Each process holds byte locks on one file in the
// shared folder: one while it is alive, one while it accepts clients. The kernel releases them when the
// process ends, however that happens, so a dead process leaves no stale state. No call blocks. Uses one
// descriptor. Threads: announce_serving() and withdraw() may be called by any thread, the rest by the
// dispatcher thread only.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "net/socket.h"

namespace yokestream::upgrade {

// One process's usage of the limits that the whole group shares. The record in the shared file has this
// layout.
struct ResourceUsage {
  std::uint64_t sessions = 0;
  std::uint64_t bytes = 0;
};

// The total usage of all other living processes.
struct PeerUsage : ResourceUsage {
  std::size_t serving_processes = 0;  // those that accept clients or still have sessions
};

class ProcessGroup {
 public:
  static constexpr int kMaxProcesses = 8;

  // Joins the group of `folder`. Throws std::system_error if the file cannot be opened or the group is full.
  explicit ProcessGroup(const std::string& folder);

  void announce_serving();                   // marks this process as accepting clients
  void withdraw();                           // marks it as no longer accepting clients
  [[nodiscard]] bool has_successor() const;  // true if another process accepts clients

  void publish_usage(const ResourceUsage& own);
  [[nodiscard]] PeerUsage peer_usage() const;

  // From 0 to kMaxProcesses - 1, unique among the living processes.
  [[nodiscard]] int slot() const { return slot_; }

 private:
  bool set_lock(int byte, short kind);
  [[nodiscard]] bool is_locked_by_peer(int byte) const;

  net::Fd file_;
  int slot_ = 0;
};

}  // namespace yokestream::upgrade
