// Decides which engines a request may use, by its area: the compiled form of the fleet's routing table.
//
// An area that is not movable is open to all engines and costs one search in an empty or short list. A
// movable area follows its rule until the lease of this process's session expires; from then on, and before
// the first table is installed, it is closed. Draining and failing engines are the policy module's concern:
// a route bounds the choice of an engine, it does not make it.
//
// Pure; the core's thread only. Memory: one record an engine (an engine beyond policy::kMaxEngineSlots is in
// no origin), one set an origin, one rule an area. route() allocates nothing.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/members.h"
#include "yokestream/policy/admission_controller.h"

namespace yokestream::routing {

using policy::EngineSet;
using policy::TableGroupId;
using policy::Time;

// A named pool of engines: those that match each list that is not empty.
struct Origin {
  std::vector<std::string> zones, kinds, uids;
  std::vector<std::uint64_t> cells;
  bool contains(const config::Member& member) const;
  bool operator==(const Origin&) const = default;
};

// Where the requests of one area go. Origins are positions in RouteTable::origins.
struct Rule {
  static constexpr std::uint32_t kTrafficBuckets = 1'000'000;
  enum class Loads { from, nowhere, to };  // where requests go that may not run twice
  std::size_t from = 0, to = 0;
  std::uint32_t moved_buckets = 0;  // of kTrafficBuckets that may run twice, so many go to `to`
  Loads loads = Loads::from;
  bool operator==(const Rule&) const = default;
};

struct RouteTable {
  std::int64_t epoch = -1;  // -1: none yet
  std::vector<Origin> origins;
  std::map<TableGroupId, Rule> rules;
  bool operator==(const RouteTable&) const = default;
};

// Where one request may go.
struct Route {
  const EngineSet* allowed_engines = nullptr;  // nullptr: any engine
  bool closed = false;                         // to no engine at present
  bool needs_lease = false;                    // its attempts are valid while the lease is
  bool moved = false;                          // goes to Rule::to, and may run twice
};

class Router {
 public:
  // The areas that a migration may move here. They are closed until a table is installed.
  void set_movable_areas(const std::vector<TableGroupId>& areas);
  void install(const RouteTable& table);                    // replaces the last one
  void extend_lease(Time until) { lease_expiry_ = until; }  // Time::min(): none

  // Adds or updates an engine of the endpoint list; returns its slot in engine sets.
  std::uint32_t register_engine(const config::Member& member);
  std::uint32_t slot_of(const std::string& uid) const;                               // kMaxEngineSlots: none
  void retain_engines(const std::function<bool(const std::string& uid)>& is_known);  // forgets all others

  Route route(Time now, TableGroupId area, bool idempotent, std::string_view request_id) const;
  std::int64_t epoch() const { return epoch_; }
  Time lease_expiry() const { return lease_expiry_; }
  bool enabled() const { return !movable_areas_.empty(); }

 private:
  struct Engine {
    std::uint32_t slot = 0;
    config::Member member;
  };
  void update_origin_sets(const Engine& engine);
  void release_slot(const Engine& engine);

  std::vector<TableGroupId> movable_areas_;  // sorted
  std::int64_t epoch_ = -1;
  std::vector<Origin> origins_;
  std::vector<std::pair<TableGroupId, Rule>> rules_;  // sorted by area
  std::vector<EngineSet> origin_engines_;             // by position of the origin
  std::map<std::string, Engine> engines_;
  EngineSet used_slots_;  // slots that are assigned
  Time lease_expiry_ = Time::min();
};

}  // namespace yokestream::routing
