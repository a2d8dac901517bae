// The connections to engines: which of them an attempt may use, and when one is to be closed.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "manager/directory.h"
#include "manager/ports.h"

namespace yokestream::manager {

struct Link {
  std::string uid;
  config::Endpoint endpoint;
  std::int64_t boot_ms = 0;
  bool up = false;
  std::map<std::string, lynxstand::QueryId> carries;  // by the request's id
  std::set<std::string> stopped;                      // ids of which a late answer may still come
  Time heard{};                                       // its last byte, or when it last began to carry
};

class Links {
 public:
  struct Bounds {
    std::size_t streams = 1;
    std::size_t links = 300;     // over all engines
    std::size_t stopped = 1000;  // ids remembered on one link
    Duration idle{};             // closed after; 0: never
    Duration silence{};          // with something on it: takes nothing new; 0: never
  };
  Links(Bounds bounds, EnginePort& port) : bounds_(bounds), port_(port) {}

  // A link to this engine as it is now that may carry this request, opened if need be. nullopt: no more can
  // be opened.
  std::optional<LinkId> pick(Time now, const std::string& uid, const EngineRecord& engine,
                             const std::string& request_id, Time dial_deadline);
  Link* find(LinkId id);
  void carry(Time now, LinkId id, const std::string& request_id, lynxstand::QueryId query);
  void release(Time now, LinkId id, const std::string& request_id, bool late_answer);
  void drop(LinkId id) { links_.erase(id); }
  // Closes what has been idle for too long, and idle links to what an engine no longer is.
  void sweep(Time now, const Directory& directory);

 private:
  bool fits(Time now, const Link& link, const std::string& request_id) const;

  Bounds bounds_;
  EnginePort& port_;
  std::map<LinkId, Link> links_;
  std::uint64_t last_ = 0;
};

}  // namespace yokestream::manager
