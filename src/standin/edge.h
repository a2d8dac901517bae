// What one process of a DutyWorld sends while areas move: the core's part in small, on the real tables and
// routes; and what the engines saw of it, held against S6 as it comes. For tests and measurements.
#pragma once

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "migration/migration_task.h"

namespace yokestream::standin {

using policy::Duration;
using policy::TableGroupId;
using policy::Time;

struct EdgeSettings {
  std::size_t areas = 0;                               // 0: nothing is sent
  Duration every = std::chrono::milliseconds(400);     // one request of a process, in the mean
  Duration longest = std::chrono::milliseconds(3000);  // an attempt is out at most so long
  double loads = 0.5;                                  // share of requests that may not run twice
  double bad = 0;                                      // of what the new side answers, so much is not served
  unsigned without = 0;                                // Mover::Guard
};
struct EdgeFigures {
  std::uint64_t sent = 0, refused = 0;  // refused: their area was closed
  std::vector<Duration>
      closed;  // spans without an open side for loads of an area, at an edge that kept its grant
};

// Attempts at engines, of all processes. A dead process's go on to their end.
class MoveChecker {
 public:
  void plan(const migration::Plan& plan);  // what `after` says of its areas
  // Empty, or the rule that this attempt breaks.
  std::string begins(Time now, TableGroupId area, bool taken, bool load, Time until, const std::string& who);

 private:
  struct Out {
    bool taken = false, load = false;
    Time until{};
    std::string who;
  };
  std::map<TableGroupId, std::vector<Out>> out_;
  std::map<TableGroupId, std::set<TableGroupId>> after_, before_;
};

class Edge {
 public:
  Edge(const EdgeSettings& settings, std::string name);
  // Whether the core acts on something else than what it may.
  bool behind(const migration::MigrationTask& mover, Time until) const;
  void take(const migration::MigrationTask& mover, Time until, Time now, EdgeFigures& figures);
  // Empty, or the rule that was broken.
  std::string send(Time now, Time local, std::mt19937_64& random, MoveChecker& checker, EdgeFigures& figures);
  std::int64_t acted(Time now);  // the epoch that it acts on wholly; -1: none
  const migration::OutcomeTallies& tallies() const { return tallies_; }

 private:
  struct Out {
    TableGroupId area{};
    bool taken = false, load = false;
    std::string id;
    Time until{};
  };
  const EdgeSettings& settings_;
  const std::string name_;
  routing::Router routes_;
  bool granted_ = false;
  Time until_ = Time::min();
  std::uint64_t asked_ = 0;
  std::vector<Out> out_;
  migration::OutcomeTallies tallies_;
  std::map<TableGroupId, Time> closed_since_;
};

}  // namespace yokestream::standin
