// Determines which engines a request may use, from its area (table group) and the fleet's routing table.
//
// Requests for an area that is not movable may use any engine; the check costs one search in an empty or
// short list. A movable area follows its rule until the lease of this process's session expires. After that,
// and before the first table is installed, the area is closed. The policy module selects the engine, and
// handles draining and failing ones; a route only restricts the candidates.
//
// Does no I/O; used on the dispatcher's thread only. Memory: one entry per engine (an engine beyond
// policy::kMaxEngineSlots belongs to no origin), one set per origin, one rule per area. route() does not
// allocate.
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

// A pool of engines. An engine belongs to it if it matches every list that is not empty.
struct Origin {
  std::vector<std::string> zones, kinds, uids;
  std::vector<std::uint64_t> cells;
  bool contains(const config::Member& member) const;
  bool operator==(const Origin&) const = default;
};

// Where the requests of one area go. Origins are given as indices into RouteTable::origins.
struct Rule {
  // Idempotent requests are hashed into this many buckets, which are moved to the target in steps.
  static constexpr std::uint32_t kTrafficBuckets = 1'000'000;
  enum class Loads { from, nowhere, to };  // where requests that are not idempotent go
  std::size_t from = 0, to = 0;
  std::uint32_t moved_buckets = 0;  // idempotent requests in the first so many buckets go to `to`
  Loads loads = Loads::from;
  bool operator==(const Rule&) const = default;
};

struct RouteTable {
  std::int64_t epoch = -1;  // -1: none yet
  std::vector<Origin> origins;
  std::map<TableGroupId, Rule> rules;
  bool operator==(const RouteTable&) const = default;
};

// Which engines one request may use.
struct Route {
  const EngineSet* allowed_engines = nullptr;  // nullptr: any engine
  bool closed = false;                         // no engine may be used at present
  bool needs_lease = false;                    // attempts may start only while the lease is valid
  bool moved = false;                          // idempotent and sent to Rule::to
};

class Router {
 public:
  // Sets the areas that migrations may move. They are closed until a table is installed.
  void set_movable_areas(const std::vector<TableGroupId>& areas);
  void install(const RouteTable& table);                    // replaces the current table
  void extend_lease(Time until) { lease_expiry_ = until; }  // Time::min(): no lease

  // Adds or updates an engine of the endpoint list, and returns its slot in engine sets. kMaxEngineSlots: no
  // slot was free.
  std::uint32_t register_engine(const config::Member& member);
  std::uint32_t slot_of(const std::string& uid) const;  // kMaxEngineSlots: it has none
  void retain_engines(const std::function<bool(const std::string& uid)>& is_known);  // drops all others

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
  std::vector<EngineSet> origin_engines_;             // by index of the origin
  std::map<std::string, Engine> engines_;
  EngineSet used_slots_;  // slots assigned to engines
  Time lease_expiry_ = Time::min();
};

}  // namespace yokestream::routing
