// The duty `migration`: takes plans through their stages, one record after the other.
//
// The next record is written only when every edge of the roster acts on this one, or its session has ended
// and the longest time has passed that its last attempt may be out (S3); but who joins is let in at any time,
// as that changes nothing for the others. An area goes to its new origin only when those that it waits for
// are wholly there, back only when those that wait for it are wholly back (S6). What may not run twice is
// stopped, acknowledged, then opened on the other side. An owner that takes over goes on at the step that
// stands in the store, with each time and each span counted anew.
//
// Pure: no thread, socket or clock. One thread at a time. Memory: one record, at the owner one tally a plan
// and session.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "coordination/leader_task.h"
#include "migration/record.h"
#include "migration/tally.h"

namespace yokestream::migration {

// Takes a plan in; else says why not, and the record stays as it is.
std::string admit_plan(MigrationRecord& record, const std::string& name, const std::string& text);

class MigrationTask : public coordination::LeaderTask {
 public:
  static constexpr const char* kName = "migration";

  // `longest`: after which no attempt is out any more. `drift`: by which clocks' rates differ.
  MigrationTask(Duration longest, double drift, unsigned without = 0)
      : longest_(std::chrono::duration_cast<Duration>(longest * (1 + 2 * drift))), without_(without) {}

  // For tests alone: guards that are left out, so that the checker is seen to find what they guard against.
  enum Guard : unsigned { kAcknowledged = 1, kLongest = 2, kOrder = 4, kStop = 8, kRoster = 16 };

  std::string name() const override { return kName; }
  bool observe(std::string_view state, const std::string& session) override;
  std::optional<Draft> next_draft(const coordination::FleetSnapshot& looked) override;
  bool has_pending_work() const override { return busy_; }

  const MigrationRecord& record() const { return record_; }
  // What this process may act on; nullopt: nothing, its areas are closed.
  const std::optional<routing::RouteTable>& routing_table() const { return table_; }
  // This session's outcomes by area and side, as the core counted them, by plan: what it tells.
  std::map<std::string, std::vector<std::int64_t>> outcome_tallies(const OutcomeTallies& by_area) const;

 private:
  struct Span {  // one stage of one plan, all its moves together
    std::vector<std::size_t> steps;
    Time since{};
    std::map<std::string, std::vector<std::int64_t>> from;  // tallies by session as it began
  };
  std::optional<routing::RouteTable> own_table() const;
  bool settled(const coordination::FleetSnapshot& looked);
  void take_asked(const coordination::FleetSnapshot& looked, MigrationRecord& next, Draft& draft) const;
  void step(const coordination::FleetSnapshot& looked, PlanProgress& running);
  void step_back(PlanProgress& running) const;
  void end(MigrationRecord& next) const;
  Verdict judge(const coordination::FleetSnapshot& looked, const PlanProgress& running,
                const Span& span) const;

  const Duration longest_;
  const unsigned without_;
  MigrationRecord record_;
  std::string session_;
  std::optional<routing::RouteTable> table_;  // of the two above
  bool busy_ = false;
  std::map<std::string, Time> gone_;   // of the roster: since when it is seen no more
  std::map<std::string, Span> spans_;  // by plan
  store::Revision term_ = 0;           // in which the two above were counted
};

}  // namespace yokestream::migration
