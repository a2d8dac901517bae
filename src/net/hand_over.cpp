#include "net/hand_over.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <string_view>

#include "net/socket.h"

namespace yokestream::net {
namespace {

constexpr const char* kFile = "/yokestream-learnt";
// Weights of an hour ago are still better than none; by then engines have been replaced.
constexpr Duration kOldest = std::chrono::hours(1);

bool write_all(const Fd& file, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = ::write(file.get(), bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
  return true;
}

// nullopt: there is none, or it can't be read to its end. One that is too long comes cut, and makes no sense.
std::optional<std::string> read_all(const std::string& path) {
  const Fd file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
  struct stat status {};
  if (!file || ::fstat(file.get(), &status) != 0) return std::nullopt;
  const auto size = std::min<std::size_t>(static_cast<std::size_t>(status.st_size), snapshot::kMostBytes + 1);
  std::string bytes(size, '\0');
  std::size_t done = 0;
  while (done < size) {
    const ssize_t got = ::read(file.get(), bytes.data() + done, size - done);
    if (got < 0 && errno == EINTR) continue;
    if (got < 0) return std::nullopt;
    if (got == 0) break;
    done += static_cast<std::size_t>(got);
  }
  bytes.resize(done);
  return bytes;
}

// Of no avail where it fails: the new file is in its place, and only a crash of the machine could undo that.
void sync_folder(const std::string& folder) {
  const Fd file(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (file) ::fsync(file.get());
}

}  // namespace

std::optional<snapshot::RestoredState> HandOver::read(const std::string& folder,
                                                      const config::RealSettings& names, dispatch::Log& log) {
  const auto bytes = read_all(folder + kFile);
  if (!bytes) return std::nullopt;
  auto read = snapshot::decode(*bytes, names, now());
  if (const auto* why = std::get_if<std::string>(&read)) {
    log.write("what another process learnt is not taken over: " + *why);
    return std::nullopt;
  }
  auto& inherited = std::get<snapshot::RestoredState>(read);
  if (inherited.age > kOldest) return std::nullopt;
  return std::move(inherited);
}

HandOver::HandOver(const std::string& folder, int place, const config::RealSettings& names)
    : folder_(folder),
      path_(folder + kFile),
      own_(path_ + "-" + std::to_string(place)),
      names_(names),
      items_(1) {
  thread_ = Thread("hand-over", kSmallStack, [this] {
    while (auto item = items_.pop()) write(snapshot::encode(std::move(item->learnt), names_, item->at));
  });
}

HandOver::~HandOver() { items_.close(); }

void HandOver::offer(policy::LearnedState learnt) { items_.try_push(Item{std::move(learnt), now()}, 1); }

void HandOver::write_now(policy::LearnedState learnt) const {
  write(snapshot::encode(std::move(learnt), names_, now()));
}

// Whole and synced beside the old one before it takes its place, so that a reader finds the one or the other,
// whatever fails and wherever this process is killed. One that can't be written is left, and its room given
// back: the next one will do.
void HandOver::write(const std::string& bytes) const {
  bool written = false;
  {
    const Fd file(::open(own_.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
    written = file && write_all(file, bytes) && ::fsync(file.get()) == 0;
  }
  if (written && std::rename(own_.c_str(), path_.c_str()) == 0)
    sync_folder(folder_);
  else
    ::unlink(own_.c_str());
}

}  // namespace yokestream::net
