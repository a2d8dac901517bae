#include "migration/migration_task.h"

#include <algorithm>

namespace yokestream::migration {

bool MigrationTask::observe(std::string_view state, const std::string& session) {
  auto record = state.empty() ? std::optional(MigrationRecord{}) : decode_record(state);
  const bool valid = record.has_value();
  if (valid) record_ = std::move(*record);
  session_ = valid ? session : "";  // without a session there is no routing table, so areas stay closed
  routing_table_ = derive_routing_table();
  return valid;
}

std::optional<routing::RouteTable> MigrationTask::derive_routing_table() const {
  auto table = routing_table_for(record_, session_);
  if (!table && (disabled_guards_ & kRoster) && record_.epoch >= 0) {
    MigrationRecord unguarded = record_;
    unguarded.roster[session_] = session_;
    return routing_table_for(unguarded, session_);
  }
  return table;
}

std::map<std::string, std::vector<std::int64_t>> MigrationTask::outcome_tallies(
    const OutcomeTallies& by_area) const {
  std::map<std::string, std::vector<std::int64_t>> out;
  for (const PlanProgress& progress : record_.plans) {
    auto& sum = out[progress.plan.name];
    sum = tally_numbers({}, {});
    for (const Move& move : progress.plan.moves)
      if (const auto entry = by_area.find(move.area); entry != by_area.end())
        add_tally(sum, tally_numbers(entry->second.first, entry->second.second), 1);
  }
  return out;
}

// S3: every session of the roster has acknowledged the record, or ended so long ago that none of its attempts
// can still be in flight.
bool MigrationTask::all_acknowledged(const coordination::FleetSnapshot& fleet) {
  std::erase_if(missing_since_, [&](const auto& missing) { return !record_.roster.count(missing.first); });
  bool acknowledged = true;
  for (const auto& [session, name] : record_.roster) {
    const auto member_entry = fleet.members.find(session);
    if (member_entry == fleet.members.end()) {
      const Time since = missing_since_.emplace(session, fleet.now).first->second;
      acknowledged &= fleet.now >= since + max_attempt_age_ || (disabled_guards_ & kMaxAttemptAge);
      continue;
    }
    missing_since_.erase(session);
    const auto acknowledgement = member_entry->second.acknowledged_epochs.find(kName);
    const bool is_current = acknowledgement != member_entry->second.acknowledged_epochs.end() &&
                            acknowledgement->second >= record_.epoch;
    acknowledged &= is_current || (disabled_guards_ & kAcknowledged);
  }
  return acknowledged;
}

std::optional<coordination::LeaderTask::Draft> MigrationTask::next_draft(
    const coordination::FleetSnapshot& fleet) {
  if (std::exchange(spans_token_, fleet.fencing_token) != fleet.fencing_token) {
    missing_since_.clear();
    spans_.clear();
  }
  const bool acknowledged = all_acknowledged(fleet);
  MigrationRecord next = record_;
  Draft draft;
  for (const auto& [session, member] : fleet.members) next.roster.emplace(session, member.name);
  if (acknowledged) {
    std::erase_if(next.roster,
                  [&](const auto& member_entry) { return !fleet.members.count(member_entry.first); });
    // All members acknowledge a new plan at step 0, with its areas at their source, before any area moves.
    finish_plans(next);
    const std::size_t active_count = next.plans.size();
    apply_operator_requests(fleet, next, draft);
    for (std::size_t i = 0; i < active_count; ++i) advance(fleet, next.plans[i]);
  }
  has_pending_work_ = !acknowledged || !next.plans.empty();
  if (next == record_ && draft.answered_requests.empty()) return std::nullopt;
  next.epoch = record_.epoch + 1;
  next.fencing_token = fleet.fencing_token;
  draft.state = encode(next);
  if (draft.state.size() > store::kMaxValueBytes)
    return std::nullopt;  // too large to store; the status shows that the epoch does not advance
  return draft;
}

// Proposes, halts and resumes plans. A rejected plan gets the reason as its outcome.
void MigrationTask::apply_operator_requests(const coordination::FleetSnapshot& fleet, MigrationRecord& next,
                                            Draft& draft) const {
  const auto find_progress = [&](const std::string& name) {
    return std::find_if(next.plans.begin(), next.plans.end(),
                        [&](const PlanProgress& progress) { return progress.plan.name == name; });
  };
  for (const auto& [request_name, text] : fleet.operator_requests) {
    draft.answered_requests.push_back(request_name);
    if (request_name.starts_with(kControlRequestPrefix)) {
      const auto entry = find_progress(request_name.substr(std::string(kControlRequestPrefix).size()));
      if (entry == next.plans.end()) continue;
      entry->halted = text == "halt";
      if (entry->halted)
        entry->cause = "staff asked for it";
      else if (!entry->rolling_back)
        entry->cause = "";
    } else if (request_name.starts_with(kPlanRequestPrefix)) {
      const std::string name = request_name.substr(std::string(kPlanRequestPrefix).size());
      const std::string why = admit_plan(next, name, text);
      if (!why.empty()) next.outcomes[name] = "turned down: " + why;
    }
  }
}

// Removes the plans whose last step all members have acknowledged, and stores their outcomes and the new
// homes of their areas.
void MigrationTask::finish_plans(MigrationRecord& next) const {
  std::erase_if(next.plans, [&](const PlanProgress& progress) {
    const std::size_t last = progress.rolling_back ? 0 : progress.done_step();
    if (std::any_of(progress.steps.begin(), progress.steps.end(), [&](auto step) { return step != last; }))
      return false;
    next.outcomes[progress.plan.name] = progress.rolling_back ? "went back: " + progress.cause : "done";
    for (const Move& move : progress.plan.moves) {
      const std::string& at = progress.rolling_back ? move.from : move.to;
      next.homes[move.area] = {at, progress.plan.origins.at(at)};
    }
    return true;
  });
  while (next.outcomes.size() > kMaxOutcomes) next.outcomes.erase(next.outcomes.begin());
}

// ---- Steps of one plan

// The span starts when this leader first sees that the whole fleet has acknowledged the plan's current steps.
MigrationTask::StageSpan& MigrationTask::span_of(const coordination::FleetSnapshot& fleet,
                                                 const PlanProgress& progress) {
  StageSpan& span = spans_[progress.plan.name];
  if (span.steps == progress.steps) return span;
  span = {progress.steps, fleet.now, {}};
  for (const auto& [session, member] : fleet.members)
    if (const auto entry = member.tallies.find(progress.plan.name); entry != member.tallies.end())
      span.initial_tallies[session] = entry->second;
  return span;
}

void MigrationTask::advance(const coordination::FleetSnapshot& fleet, PlanProgress& progress) {
  if (progress.halted) {
    spans_.erase(progress.plan.name);
    return;
  }
  if (!stage_completed(fleet, span_of(fleet, progress), progress)) return;
  if (progress.rolling_back)
    step_back(progress);
  else
    step_forward(progress);
}

bool MigrationTask::stage_completed(const coordination::FleetSnapshot& fleet, const StageSpan& span,
                                    PlanProgress& progress) const {
  const std::size_t stage_count = progress.plan.stages.size();
  Duration min_duration{};
  bool in_stage = false;
  bool has_both_sides = false;  // at the last stage the source serves no requests to compare with
  for (const auto step : progress.steps) {
    if (step == 0 || step > stage_count) continue;
    in_stage = true;
    has_both_sides |= step < stage_count;
    min_duration = std::max(min_duration, progress.plan.stages[step - 1].min_duration);
  }
  if (!in_stage) return true;
  if (fleet.now < span.started_at + min_duration) return false;
  if (!progress.plan.gate) return true;
  const Verdict verdict = judge(fleet, progress, span);
  if (verdict.result == Verdict::Result::too_few) return !has_both_sides;
  if (verdict.result == Verdict::Result::good) return true;
  progress.cause = verdict.cause;
  if (progress.plan.on_fail == OnFail::roll_back && !progress.rolling_back)
    progress.rolling_back = true;
  else
    progress.halted = true;
  return false;
}

void MigrationTask::step_forward(PlanProgress& progress) const {
  const std::vector<std::size_t> before = progress.steps;
  const auto has_moved = [&](TableGroupId area) {  // true also for areas outside this plan
    for (std::size_t i = 0; i < before.size(); ++i)
      if (progress.plan.moves[i].area == area) return before[i] == progress.done_step();
    return true;
  };
  for (std::size_t i = 0; i < before.size(); ++i) {
    const auto& after = progress.plan.moves[i].after;
    const bool ready = std::all_of(after.begin(), after.end(), has_moved);
    if (before[i] == 0 && !ready && !(disabled_guards_ & kPrerequisites)) continue;
    std::size_t& step = progress.steps[i];
    if (before[i] < progress.done_step()) ++step;
    if (step == progress.loads_stopped_step() && (disabled_guards_ & kStopLoads)) ++step;
  }
}

void MigrationTask::step_back(PlanProgress& progress) const {
  const std::vector<std::size_t> before = progress.steps;
  for (std::size_t i = 0; i < before.size(); ++i) {
    bool ready = true;  // no area that depends on it has left step 0
    for (std::size_t j = 0; j < before.size(); ++j) {
      const auto& after = progress.plan.moves[j].after;
      const bool depends = std::find(after.begin(), after.end(), progress.plan.moves[i].area) != after.end();
      ready &= !depends || before[j] == 0;
    }
    if (before[i] > 0 && (ready || (disabled_guards_ & kPrerequisites))) --progress.steps[i];
  }
}

Verdict MigrationTask::judge(const coordination::FleetSnapshot& fleet, const PlanProgress& progress,
                             const StageSpan& span) const {
  std::vector<std::int64_t> sum;
  for (const auto& [session, member] : fleet.members) {
    const auto current = member.tallies.find(progress.plan.name);
    if (current == member.tallies.end()) continue;
    add_tally(sum, current->second, 1);
    const auto initial = span.initial_tallies.find(session);
    if (initial != span.initial_tallies.end()) add_tally(sum, initial->second, -1);
  }
  return migration::judge(*progress.plan.gate, sum, progress.rolling_back);
}

}  // namespace yokestream::migration
