#include "upgrade/process_group.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace yokestream::upgrade {
namespace {

// File layout: one byte per slot, locked while the process of the slot is alive; one byte per slot, locked
// while that process accepts clients; one ResourceUsage per slot.
constexpr const char* kFileName = "/yokestream-processes";

int alive_byte(int slot) { return slot; }
int serving_byte(int slot) { return ProcessGroup::kMaxProcesses + slot; }
off_t usage_offset(int slot) {
  return 2 * ProcessGroup::kMaxProcesses + slot * static_cast<off_t>(sizeof(ResourceUsage));
}

struct flock byte_lock(int byte, short kind) {
  struct flock lock {};
  lock.l_type = kind;
  lock.l_whence = SEEK_SET;
  lock.l_start = byte;
  lock.l_len = 1;
  return lock;
}

}  // namespace

// Uses open file description locks, because a lock owned by the process would be released as soon as any of
// its descriptors of the file is closed.
bool ProcessGroup::set_lock(int byte, short kind) {
  struct flock request = byte_lock(byte, kind);
  return ::fcntl(file_.get(), F_OFD_SETLK, &request) == 0;
}

bool ProcessGroup::is_locked_by_peer(int byte) const {
  struct flock query = byte_lock(byte, F_WRLCK);
  return ::fcntl(file_.get(), F_OFD_GETLK, &query) == 0 && query.l_type != F_UNLCK;
}

ProcessGroup::ProcessGroup(const std::string& folder)
    : file_(::open((folder + kFileName).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600)) {
  if (file_) {
    while (slot_ < kMaxProcesses && !set_lock(alive_byte(slot_), F_WRLCK)) ++slot_;
  }
  if (!file_ || slot_ == kMaxProcesses)
    throw std::system_error(errno, std::generic_category(), "cannot join the process group in " + folder);
  publish_usage({});  // overwrites the record of the slot's previous process
}

void ProcessGroup::announce_serving() { set_lock(serving_byte(slot_), F_WRLCK); }
void ProcessGroup::withdraw() { set_lock(serving_byte(slot_), F_UNLCK); }

void ProcessGroup::publish_usage(const ResourceUsage& own) {
  [[maybe_unused]] const auto written = ::pwrite(file_.get(), &own, sizeof own, usage_offset(slot_));
}

// Skips the records of dead processes: the kernel has released their locks.
PeerUsage ProcessGroup::peer_usage() const {
  PeerUsage sum;
  for (int slot = 0; slot < kMaxProcesses; ++slot) {
    if (slot == slot_ || !is_locked_by_peer(alive_byte(slot))) continue;
    ResourceUsage peer;
    if (::pread(file_.get(), &peer, sizeof peer, usage_offset(slot)) != sizeof peer) continue;
    const bool serving = peer.sessions > 0 || is_locked_by_peer(serving_byte(slot));
    sum.serving_processes += serving ? 1 : 0;
    sum.sessions += peer.sessions;
    sum.bytes += peer.bytes;
  }
  return sum;
}

bool ProcessGroup::has_successor() const {
  for (int slot = 0; slot < kMaxProcesses; ++slot) {
    if (slot != slot_ && is_locked_by_peer(serving_byte(slot))) return true;
  }
  return false;
}

}  // namespace yokestream::upgrade
