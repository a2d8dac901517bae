// The leader task `migration`: advances plans through their stages by writing one record after the other.
//
// The leader writes the next record only when every member of the roster has acknowledged the current one, or
// the member's session has ended and its last attempt can no longer be in flight (S3). New members are added
// to the roster at any time, which does not affect the others. An area starts to move only when its
// prerequisites have moved completely, and rolls back only when all areas that depend on it have rolled back
// completely (S6). A new leader continues at the stored step, and restarts waiting times and stage spans.
//
//   step of a move     idempotent requests               loads (not idempotent)
//   0       waiting    old origin                        old origin
//   1 .. n  stages     split by the stage's shares       old origin
//   n + 1   stopped    new origin                        nowhere, until all have acknowledged that
//   n + 2   done       new origin                        new origin
//
// A rollback takes the same steps in reverse.
//
// Uses no thread, socket or clock. Not thread-safe. Memory: one record and, at the leader, one tally per plan
// and session.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "coordination/leader_task.h"
#include "migration/outcome_gate.h"
#include "migration/record.h"

namespace yokestream::migration {

// Adds a proposed plan to the record and returns an empty string. If the plan is rejected, returns the reason
// and leaves the record unchanged.
std::string admit_plan(MigrationRecord& record, const std::string& name, const std::string& text);

class MigrationTask : public coordination::LeaderTask {
 public:
  static constexpr const char* kName = "migration";

  // `max_attempt_age`: age after which no attempt can be in flight. `clock_drift`: maximum relative
  // difference between the rates of two clocks.
  MigrationTask(Duration max_attempt_age, double clock_drift, unsigned disabled_guards = 0)
      : max_attempt_age_(std::chrono::duration_cast<Duration>(max_attempt_age * (1 + 2 * clock_drift))),
        disabled_guards_(disabled_guards) {}

  // For tests only: safety guards that can be disabled, to show that the checker detects the fault that each
  // guard prevents.
  enum Guard : unsigned {
    kAcknowledged = 1,
    kMaxAttemptAge = 2,
    kPrerequisites = 4,
    kStopLoads = 8,
    kRoster = 16
  };

  std::string name() const override { return kName; }
  bool observe(std::string_view state, const std::string& session) override;
  std::optional<Draft> next_draft(const coordination::FleetSnapshot& fleet) override;
  bool has_pending_work() const override { return has_pending_work_; }

  const MigrationRecord& record() const { return record_; }
  // The routing table of this process. nullopt: it has none, so its movable areas are closed.
  const std::optional<routing::RouteTable>& routing_table() const { return routing_table_; }
  // Sums the dispatcher's outcome tallies by plan, for this process's MemberRecord.
  std::map<std::string, std::vector<std::int64_t>> outcome_tallies(const OutcomeTallies& by_area) const;

 private:
  struct StageSpan {  // the time during which all steps of one plan stay the same
    std::vector<std::size_t> steps;
    Time started_at{};
    std::map<std::string, std::vector<std::int64_t>> initial_tallies;  // by session, at started_at
  };
  std::optional<routing::RouteTable> derive_routing_table() const;
  StageSpan& span_of(const coordination::FleetSnapshot& fleet, const PlanProgress& progress);
  bool all_acknowledged(const coordination::FleetSnapshot& fleet);
  void apply_operator_requests(const coordination::FleetSnapshot& fleet, MigrationRecord& next,
                               Draft& draft) const;
  void advance(const coordination::FleetSnapshot& fleet, PlanProgress& progress);
  // Whether the plan may take its next step. If its gate fails, halts the plan or starts its rollback.
  bool stage_completed(const coordination::FleetSnapshot& fleet, const StageSpan& span,
                       PlanProgress& progress) const;
  void step_forward(PlanProgress& progress) const;
  void step_back(PlanProgress& progress) const;
  void finish_plans(MigrationRecord& next) const;
  Verdict judge(const coordination::FleetSnapshot& fleet, const PlanProgress& progress,
                const StageSpan& span) const;

  const Duration max_attempt_age_;
  const unsigned disabled_guards_;
  MigrationRecord record_;
  std::string session_;
  std::optional<routing::RouteTable> routing_table_;  // derived from record_ and session_
  bool has_pending_work_ = false;
  std::map<std::string, Time> missing_since_;  // by session; roster members without a live session
  std::map<std::string, StageSpan> spans_;     // by plan
  store::Revision spans_token_ = 0;  // fencing token under which missing_since_ and spans_ were recorded
};

}  // namespace yokestream::migration
