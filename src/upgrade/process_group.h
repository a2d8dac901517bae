// The processes of one workload manager during an upgrade: which are alive, which accept clients, and how
// much of the limits that they share each one uses.
//
// Each process holds byte locks on one file in the shared folder: one while it is alive, one while it accepts
// clients. The kernel releases them with the process, however it ends, so a dead process leaves nothing
// stale. No call blocks. One descriptor.
//
// Threads: announce_serving() and withdraw() may be called by any thread, the rest by the dispatcher's.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "net/socket.h"

namespace yokestream::upgrade {

// What one process uses of what is limited for all of the group. Its bytes are the record in the shared file.
struct ResourceUsage {
  std::uint64_t sessions = 0;
  std::uint64_t bytes = 0;
};

// The sum over all other living processes.
struct PeerUsage : ResourceUsage {
  std::size_t serving_processes = 0;  // that accept clients, or still have some
};

class ProcessGroup {
 public:
  static constexpr int kMaxProcesses = 8;

  // Joins the group of `folder`. Throws std::system_error if the folder is unusable or the group is full.
  explicit ProcessGroup(const std::string& folder);

  void announce_serving();                   // this process accepts clients
  void withdraw();                           // it no longer does
  [[nodiscard]] bool has_successor() const;  // does another process accept clients?

  void publish_usage(const ResourceUsage& own);
  [[nodiscard]] PeerUsage peer_usage() const;

  // 0 to kMaxProcesses - 1; unique among the living processes.
  [[nodiscard]] int slot() const { return slot_; }

 private:
  bool set_lock(int byte, short kind);
  [[nodiscard]] bool is_locked_by_peer(int byte) const;

  net::Fd file_;
  int slot_ = 0;
};

}  // namespace yokestream::upgrade
