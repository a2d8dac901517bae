#include "net/together.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace yokestream::net {
namespace {

constexpr const char* kFile = "/yokestream-processes";

struct flock byte_lock(int byte, short kind) {
  struct flock lock {};
  lock.l_type = kind;
  lock.l_whence = SEEK_SET;
  lock.l_start = byte;
  lock.l_len = 1;
  return lock;
}

off_t record_of(int place) {
  return 2 * Together::kMost + place * static_cast<off_t>(sizeof(Together::Holds));
}

}  // namespace

// Locks of the open file, not of the process: the latter would go when any descriptor of the file is closed.
bool Together::lock(int byte, short kind) {
  struct flock wanted = byte_lock(byte, kind);
  return ::fcntl(file_.get(), F_OFD_SETLK, &wanted) == 0;
}

bool Together::held_by_other(int byte) const {
  struct flock asked = byte_lock(byte, F_WRLCK);
  return ::fcntl(file_.get(), F_OFD_GETLK, &asked) == 0 && asked.l_type != F_UNLCK;
}

Together::Together(const std::string& folder)
    : file_(::open((folder + kFile).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600)) {
  if (file_) {
    while (place_ < kMost && !lock(place_, F_WRLCK)) ++place_;
  }
  if (!file_ || place_ == kMost)
    throw std::system_error(errno, std::generic_category(), "cannot tell who else serves, in " + folder);
  tell({});  // what an earlier process left in this place is not ours
}

void Together::say_yes() { lock(kMost + place_, F_WRLCK); }
void Together::step_down() { lock(kMost + place_, F_UNLCK); }

void Together::tell(const Holds& own) {
  [[maybe_unused]] const auto written = ::pwrite(file_.get(), &own, sizeof own, record_of(place_));
}

// What a dead process told counts no more: its lock has gone with it.
Together::Others Together::others() const {
  Others sum;
  for (int place = 0; place < kMost; ++place) {
    Holds other;
    if (place == place_ || !held_by_other(place)) continue;
    if (::pread(file_.get(), &other, sizeof other, record_of(place)) != sizeof other) continue;
    sum.serving += other.sessions > 0 || held_by_other(kMost + place);
    sum.sessions += other.sessions, sum.bytes += other.bytes;
  }
  return sum;
}

bool Together::successor() const {
  for (int place = 0; place < kMost; ++place) {
    if (place != place_ && held_by_other(kMost + place)) return true;
  }
  return false;
}

}  // namespace yokestream::net
