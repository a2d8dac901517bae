// Which engines a request may go to, by its area: what the duties of the fleet have decided, compiled.
//
// An area that no duty touches is open to all engines and costs one search in an empty or short list. One
// that is touched follows its rule up to a moment (the grant of this process's session); from then on, and
// before a first table has come, it is closed. Drains and failing engines are the module's, as ever: what is
// eligible here is a bound, not a choice.
//
// Pure; the core's thread only. Memory: one record an engine (kMostSlots at most; one more is in no origin),
// one set an origin, one rule an area. find() allocates nothing.
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

// Where the requests of one area go: origins by their position in the table.
struct Rule {
  static constexpr std::uint32_t kAllRequests = 1'000'000;
  enum class Loads { from, nowhere, to };  // what must not run twice
  std::size_t from = 0, to = 0;
  std::uint32_t moved_requests = 0;  // of kAll requests that may run twice, so many go to `to`
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
  bool closed = false;                         // nowhere now
  bool needs_lease = false;                    // its attempts need the grant
  bool moved = false;                          // may run twice, and is on the new side
};

class Router {
 public:
  // `movable`: the areas that a duty may touch here. They are closed until a table has come.
  void set_movable_areas(const std::vector<TableGroupId>& movable);
  void install(const RouteTable& table);             // whole
  void extend_lease(Time until) { until_ = until; }  // the grant; Time::min(): none

  // Takes in what the list tells of an engine, and says by which slot sets name it.
  std::uint32_t register_engine(const config::Member& member);
  std::uint32_t slot_of(const std::string& uid) const;                            // kMostSlots: it has none
  void retain_engines(const std::function<bool(const std::string& uid)>& known);  // and forgets all others

  Route route(Time now, TableGroupId area, bool repeatable, std::string_view request_id) const;
  std::int64_t epoch() const { return epoch_; }
  Time lease_expiry() const { return until_; }
  bool enabled() const { return !movable_.empty(); }

 private:
  struct Engine {
    std::uint32_t slot = 0;
    config::Member member;
  };
  void place(const Engine& engine);
  void vacate(const Engine& engine);

  std::vector<TableGroupId> movable_;  // in order
  std::int64_t epoch_ = -1;
  std::vector<Origin> origins_;
  std::vector<std::pair<TableGroupId, Rule>> rules_;  // in order
  std::vector<EngineSet> sets_;                       // by origin
  std::map<std::string, Engine> engines_;
  EngineSet taken_;  // slots
  Time until_ = Time::min();
};

}  // namespace yokestream::routing
