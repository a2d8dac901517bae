// The one place where the configuration is read, checked and given defaults.
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "config/members.h"
#include "config/settings.h"
#include "coordination/settings.h"
#include "scheduler/settings.h"
#include "throttle/settings.h"

namespace yokestream::config {

struct Limits {
  std::size_t memory_mb = 192;
  std::size_t sockets = 1024;
  std::size_t processes = 1;  // that may stand beside each other: two where the listener is handed down
  std::size_t door = 0;       // descriptors of the operators' door, where there is one
  std::size_t fleet = 0;      // the same of what keeps this process in its fleet

  // How the descriptors are shared out. Usual clients hold a third of them at most; each connection also
  // costs its buffers, some 40 KB. Where two processes may stand beside each other, each has half of the
  // links and descriptors of its own, and the connections of clients are counted together
  // (src/upgrade/process_group.h).
  std::size_t links() const { return std::min(sockets / (3 * processes), memory_mb * 3); }
  std::size_t sessions() const {
    return std::min(sockets - processes * (links() + kOtherDescriptors + door + fleet), memory_mb * 6);
  }

  static constexpr std::size_t kOtherDescriptors = 18;  // the listener, the feed, the pollers, files
};

struct Config {
  std::string name;
  Endpoint listen;
  std::uint64_t seed = 0;
  Limits limits;
  std::optional<Endpoint> management;  // the operators' door; none: there is no door
  std::optional<int> listen_fd;        // the clients' listener, handed down by the platform
  std::string shared_folder;           // with listen_fd: where processes of this manager find each other
  std::optional<Endpoint> feed;        // none: the list of engines never changes
  std::uint64_t known_number = 0;
  std::vector<MembersEvent> known;
  policy::Settings settings;
  RealSettings real;
  throttle::Settings door;       // of the operator file; off without one
  scheduler::Settings queues;    // the same
  coordination::Settings fleet;  // the same
};

// Nested JSON as pairs of path and text: objects and lists of objects by path, lists of scalars with commas.
Options lay_out(const Json::Value& settings);

Config decode_config(const std::string& text);  // throws ConfigError
Config read_config(const std::string& path);    // throws ConfigError

}  // namespace yokestream::config
