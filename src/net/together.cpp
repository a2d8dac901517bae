#include "net/together.h"

#include <fcntl.h>

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
}

void Together::say_yes() { lock(kMost + place_, F_WRLCK); }
void Together::step_down() { lock(kMost + place_, F_UNLCK); }

int Together::others() const {
  int count = 0;
  for (int place = 0; place < kMost; ++place) count += place != place_ && held_by_other(place);
  return count;
}

bool Together::successor() const {
  for (int place = 0; place < kMost; ++place) {
    if (place != place_ && held_by_other(kMost + place)) return true;
  }
  return false;
}

}  // namespace yokestream::net
