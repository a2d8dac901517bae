#include "migration/mover.h"

#include <algorithm>

namespace yokestream::migration {

bool MigrationTask::observe(std::string_view state, const std::string& session) {
  auto record = state.empty() ? std::optional(MigrationRecord{}) : decode_record(state);
  const bool good = record.has_value();
  if (good) record_ = std::move(*record);
  session_ = good ? session : "";  // by a record that makes no sense nothing is sent
  table_ = own_table();
  return good;
}

std::optional<routing::RouteTable> MigrationTask::own_table() const {
  auto table = table_of(record_, session_);
  if (!table && (without_ & kRoster) && record_.epoch >= 0) {
    MigrationRecord open = record_;
    open.roster[session_] = session_;
    return table_of(open, session_);
  }
  return table;
}

std::map<std::string, std::vector<std::int64_t>> MigrationTask::outcome_tallies(
    const OutcomeTallies& by_area) const {
  std::map<std::string, std::vector<std::int64_t>> out;
  for (const PlanProgress& running : record_.plans) {
    auto& sum = out[running.plan.name];
    sum = numbers({}, {});
    for (const Move& move : running.plan.moves)
      if (const auto it = by_area.find(move.area); it != by_area.end())
        add(sum, numbers(it->second.first, it->second.second), 1);
  }
  return out;
}

// S3: every session of the roster acts on the record, or was seen to have ended long enough ago.
bool MigrationTask::settled(const coordination::FleetSnapshot& looked) {
  std::erase_if(gone_, [&](const auto& gone) { return !record_.roster.count(gone.first); });
  bool all = true;
  for (const auto& [session, name] : record_.roster) {
    const auto lives = looked.members.find(session);
    if (lives == looked.members.end()) {
      const Time since = gone_.emplace(session, looked.now).first->second;
      all &= looked.now >= since + longest_ || (without_ & kLongest);
      continue;
    }
    gone_.erase(session);
    const auto seen = lives->second.acknowledged_epochs.find(kName);
    all &= (seen != lives->second.acknowledged_epochs.end() && seen->second >= record_.epoch) ||
           (without_ & kAcknowledged);
  }
  return all;
}

std::optional<coordination::LeaderTask::Draft> MigrationTask::next_draft(
    const coordination::FleetSnapshot& looked) {
  if (std::exchange(term_, looked.fencing_token) != looked.fencing_token) gone_.clear(), spans_.clear();
  const bool all = settled(looked);
  MigrationRecord next = record_;
  Draft draft;
  for (const auto& [session, fact] : looked.members) next.roster.emplace(session, fact.name);
  if (all) {
    std::erase_if(next.roster, [&](const auto& edge) { return !looked.members.count(edge.first); });
    // what is new is acted on as it stands, each area wholly at its old side, before anything moves
    end(next);
    const std::size_t under_way = next.plans.size();
    take_asked(looked, next, draft);
    for (std::size_t i = 0; i < under_way; ++i) step(looked, next.plans[i]);
  }
  busy_ = !all || !next.plans.empty();
  if (next == record_ && draft.answered_requests.empty()) return std::nullopt;
  next.epoch = record_.epoch + 1;
  next.fencing_token = looked.fencing_token;
  draft.state = encode(next);
  if (draft.state.size() > store::kMaxValueBytes)
    return std::nullopt;  // told of by the status: it does not go on
  return draft;
}

// What staff asked for since. A plan that can't be taken is answered with the reason.
void MigrationTask::take_asked(const coordination::FleetSnapshot& looked, MigrationRecord& next,
                               Draft& draft) const {
  const auto running = [&](const std::string& name) {
    return std::find_if(next.plans.begin(), next.plans.end(),
                        [&](const PlanProgress& r) { return r.plan.name == name; });
  };
  for (const auto& [what, text] : looked.staff_requests) {
    draft.answered_requests.push_back(what);
    if (what.starts_with(kControlRequestPrefix)) {
      const auto it = running(what.substr(std::string(kControlRequestPrefix).size()));
      if (it == next.plans.end()) continue;
      it->halted = text == "halt";
      it->cause = it->halted ? "staff asked for it" : it->rolling_back ? it->cause : "";
    } else if (what.starts_with(kPlanRequestPrefix)) {
      const std::string name = what.substr(std::string(kPlanRequestPrefix).size());
      const std::string why = admit_plan(next, name, text);
      if (!why.empty()) next.outcomes[name] = "turned down: " + why;
    }
  }
}

// Only once every edge acts on its last step.
void MigrationTask::end(MigrationRecord& next) const {
  std::erase_if(next.plans, [&](const PlanProgress& running) {
    const std::size_t last = running.rolling_back ? 0 : running.done_step();
    if (std::any_of(running.steps.begin(), running.steps.end(), [&](auto step) { return step != last; }))
      return false;
    next.outcomes[running.plan.name] = running.rolling_back ? "went back: " + running.cause : "done";
    for (const Move& move : running.plan.moves) {
      const std::string& at = running.rolling_back ? move.from : move.to;
      next.homes[move.area] = {at, running.plan.origins.at(at)};
    }
    return true;
  });
  while (next.outcomes.size() > kMaxOutcomes) next.outcomes.erase(next.outcomes.begin());
}

// ---- one plan, one step

// A stage's time and its span are counted from when this owner first saw the whole fleet act on it.
void MigrationTask::step(const coordination::FleetSnapshot& looked, PlanProgress& running) {
  if (running.halted) {
    spans_.erase(running.plan.name);
    return;
  }
  Span& span = spans_[running.plan.name];
  if (span.steps != running.steps) {
    span = {running.steps, looked.now, {}};
    for (const auto& [session, fact] : looked.members)
      if (const auto it = fact.tallies.find(running.plan.name); it != fact.tallies.end())
        span.from[session] = it->second;
  }
  const std::size_t n = running.plan.stages.size();
  Duration hold{};
  bool in_stage = false;
  for (const auto step : running.steps)
    if (step > 0 && step <= n)
      in_stage = true, hold = std::max(hold, running.plan.stages[step - 1].min_duration);
  if (in_stage && looked.now < span.since + hold) return;
  if (in_stage && running.plan.gate) {
    const Verdict verdict = judge(looked, running, span);
    // all is on one side at the last stage, so there is nothing left to compare with
    const bool compares = std::any_of(running.steps.begin(), running.steps.end(),
                                      [&](auto step) { return step > 0 && step < n; });
    if (compares && verdict.result == Verdict::Result::too_few) return;
    if (verdict.result == Verdict::Result::bad) {
      running.cause = verdict.cause;
      if (running.plan.on_fail == OnFail::roll_back && !running.rolling_back)
        running.rolling_back = true;
      else
        running.halted = true;
      return;
    }
  }
  if (running.rolling_back) return step_back(running);
  const std::vector<std::size_t> before = running.steps;
  for (std::size_t i = 0; i < before.size(); ++i) {
    const auto& after = running.plan.moves[i].after;
    const bool free = std::all_of(after.begin(), after.end(), [&](TableGroupId area) {
      for (std::size_t j = 0; j < before.size(); ++j)
        if (running.plan.moves[j].area == area) return before[j] == running.done_step();
      return true;
    });
    if (before[i] == 0 && !free && !(without_ & kOrder)) continue;
    if (before[i] < running.done_step()) ++running.steps[i];
    if (running.steps[i] == running.loads_stopped_step() && (without_ & kStop)) ++running.steps[i];
  }
}

void MigrationTask::step_back(PlanProgress& running) const {
  const std::vector<std::size_t> before = running.steps;
  for (std::size_t i = 0; i < before.size(); ++i) {
    bool free = true;  // of those that wait for it, none has begun
    for (std::size_t j = 0; j < before.size(); ++j) {
      const auto& after = running.plan.moves[j].after;
      const bool waits = std::find(after.begin(), after.end(), running.plan.moves[i].area) != after.end();
      free &= !waits || before[j] == 0;
    }
    if (before[i] > 0 && (free || (without_ & kOrder))) --running.steps[i];
  }
}

Verdict MigrationTask::judge(const coordination::FleetSnapshot& looked, const PlanProgress& running,
                             const Span& span) const {
  std::vector<std::int64_t> sum;
  for (const auto& [session, fact] : looked.members) {
    const auto now = fact.tallies.find(running.plan.name);
    if (now == fact.tallies.end()) continue;
    add(sum, now->second, 1);
    if (const auto was = span.from.find(session); was != span.from.end()) add(sum, was->second, -1);
  }
  return migration::judge(*running.plan.gate, sum, running.rolling_back);
}

}  // namespace yokestream::migration
