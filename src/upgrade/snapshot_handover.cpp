#include "upgrade/snapshot_handover.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <string_view>

#include "net/socket.h"

namespace yokestream::upgrade {
namespace {

constexpr const char* kFileName = "/yokestream-learnt";
// Weights that are up to an hour old are still better than none; after that, the engines have been replaced.
constexpr net::Duration kMaxSnapshotAge = std::chrono::hours(1);

bool write_all(const net::Fd& file, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = ::write(file.get(), bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
  return true;
}

// Returns nullopt if the file does not exist or cannot be read completely. A file that is too long is
// truncated to one byte above the limit, which the decoder rejects.
std::optional<std::string> read_all(const std::string& path) {
  const net::Fd file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
  struct stat status {};
  if (!file || ::fstat(file.get(), &status) != 0) return std::nullopt;
  const auto size = std::min<std::size_t>(static_cast<std::size_t>(status.st_size), snapshot::kMaxBytes + 1);
  std::string bytes(size, '\0');
  std::size_t offset = 0;
  while (offset < size) {
    const ssize_t count = ::read(file.get(), bytes.data() + offset, size - offset);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return std::nullopt;
    if (count == 0) break;
    offset += static_cast<std::size_t>(count);
  }
  bytes.resize(offset);
  return bytes;
}

// Best effort: the rename is already visible, and only a crash of the machine could undo it.
void sync_folder(const std::string& folder) {
  const net::Fd file(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (file) ::fsync(file.get());
}

}  // namespace

std::optional<snapshot::RestoredState> SnapshotHandover::load(const std::string& folder,
                                                              const config::RealSettings& names,
                                                              dispatch::Log& log) {
  const auto bytes = read_all(folder + kFileName);
  if (!bytes) return std::nullopt;
  auto decoded = snapshot::decode(*bytes, names, net::now());
  if (const auto* error = std::get_if<snapshot::DecodeError>(&decoded)) {
    log.write("learned state of another process rejected: cause=\"" +
              std::string(snapshot::to_string(*error)) + "\"");
    return std::nullopt;
  }
  auto& restored = std::get<snapshot::RestoredState>(decoded);
  if (restored.age > kMaxSnapshotAge) return std::nullopt;
  return std::move(restored);
}

SnapshotHandover::SnapshotHandover(const std::string& folder, int slot, const config::RealSettings& names)
    : folder_(folder),
      path_(folder + kFileName),
      temporary_path_(path_ + "-" + std::to_string(slot)),
      names_(names),
      offers_(1) {
  thread_ = net::Thread("hand-over", net::kSmallStackBytes, [this] {
    while (auto offer = offers_.pop())
      replace_file(snapshot::encode(std::move(offer->state), names_, offer->taken_at));
  });
}

SnapshotHandover::~SnapshotHandover() { offers_.close(); }

void SnapshotHandover::offer(policy::LearnedState state) {
  offers_.try_push(Offer{std::move(state), net::now()}, 1);
}

void SnapshotHandover::write_now(policy::LearnedState state) const {
  replace_file(snapshot::encode(std::move(state), names_, net::now()));
}

// Failure: a write fails or the process is killed during it. Symptom: the successor reads a truncated file.
// Guard: the new file is complete and synced before it is renamed over the old one, so a reader finds one or
// the other. A file that could not be written is removed; the next offer follows within a second.
void SnapshotHandover::replace_file(const std::string& bytes) const {
  bool written = false;
  {
    const net::Fd file(::open(temporary_path_.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
    written = file && write_all(file, bytes) && ::fsync(file.get()) == 0;
  }
  if (written && std::rename(temporary_path_.c_str(), path_.c_str()) == 0)
    sync_folder(folder_);
  else
    ::unlink(temporary_path_.c_str());
}

}  // namespace yokestream::upgrade
