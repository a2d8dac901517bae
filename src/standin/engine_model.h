// How a query engine behaves, as a pure model: told events and times, it answers with what ends and when.
// Used on a virtual clock in tests and behind sockets in measure/. Never linked into `yokestream serve`.
//
// Queries run all at once and share cores by priority (0 to 3, weights 1 : 4 : 8 : 16), each on at most its
// threads; total work done falls beyond a knee of threads a core. Memory is granted on start or the query
// waits in line. A group of tables read lately is warm and saves work; a load holds its group, so that other
// loads and waiting classes of that group stand still. An engine that starts is cold and does a part of its
// work. Some attempts draw a bad plan. Faults are switches: slow, stall, drain is the feed's business.
//
// Memory: one record a running query, of which `sessions` are taken at most. One thread may use it.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "standin/draw.h"
#include "yokestream/policy/admission_controller.h"

namespace yokestream::standin {

using policy::Duration;
using policy::Time;

struct Query {
  std::string id;
  double work = 0;     // seconds of one core, true
  double threads = 1;  // that it runs on at most
  double memory = 0;   // MB
  std::uint32_t group = 0;
  std::uint32_t band = 1;
  bool load = false;   // holds its group while it runs
  bool waits = false;  // stands still while a load holds its group
};

struct EngineSettings {
  double cores = 8, speed = 1;
  double memory_mb = 16384;
  std::size_t sessions = 64;        // over that: full
  double knee = 1.7, thrash = 0.5;  // threads a core; loss of total work for each knee beyond it
  std::size_t warm_groups = 4;
  double warm_saves = 0.3;     // of a query's work where its group is warm
  double bad_plans = 0;        // share of queries that draw one
  double bad_plan_times = 12;  // their work
  double cold_part = 0.34;     // of its capacity at a start
  Duration cold_for = std::chrono::seconds(10);
  std::uint64_t seed = 1;
};

class EngineModel {
 public:
  EngineModel(EngineSettings settings, Time now, bool cold);

  bool start(Time now, Query query);  // false: full, it never runs
  void stop(Time now, const std::string& id);
  void nice(Time now, const std::string& id, std::uint32_t band);
  // Faults: all runs this many times slower; nothing moves at all.
  void slow(Time now, double times);
  void stall(Time now, bool stalled);
  std::vector<std::string> die(Time now);  // what ran there is lost; a new start is cold

  struct Ended {
    std::string id;
    double work = 0;  // that it took, seconds
    double memory = 0;
  };
  // Moves on to `now`; what has ended since, in order.
  std::vector<Ended> advance(Time now);
  std::optional<Time> next_end(Time now);  // when something ends if nothing new comes

  std::size_t running() const { return running_.size(); }
  std::size_t queued() const { return line_.size(); }
  double granted() const { return granted_ / settings_.memory_mb; }  // share of the memory
  double progress(const std::string& id) const;                      // 0 to 1

 private:
  struct Running {
    Query query;
    double left = 0, all = 0;
    double rate = 0;  // work a second, now
    bool still = false;
  };
  void admit(Time now);
  void share_out(Time now);
  double capacity(Time now, double threads) const;
  double draw() { return standin::draw(random_); }

  const EngineSettings settings_;
  Time at_, started_;
  bool cold_;
  double slow_ = 1;
  bool stalled_ = false;
  std::map<std::string, Running> running_;
  std::deque<Query> line_;  // for memory
  std::deque<std::uint32_t> warm_;
  double granted_ = 0;
  std::uint64_t random_;
};

}  // namespace yokestream::standin
