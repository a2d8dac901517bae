#include "migration/mover.h"

#include <algorithm>

namespace yokestream::migration {

bool Mover::see(std::string_view state, const std::string& session) {
  auto record = state.empty() ? std::optional(Record{}) : decode_record(state);
  const bool good = record.has_value();
  if (good) record_ = std::move(*record);
  session_ = good ? session : "";  // by a record that makes no sense nothing is sent
  table_ = own_table();
  return good;
}

std::optional<routing::Table> Mover::own_table() const {
  auto table = table_of(record_, session_);
  if (!table && (without_ & kRoster) && record_.epoch >= 0) {
    Record open = record_;
    open.roster[session_] = session_;
    return table_of(open, session_);
  }
  return table;
}

std::map<std::string, std::vector<std::int64_t>> Mover::tallies(const Tallies& by_area) const {
  std::map<std::string, std::vector<std::int64_t>> out;
  for (const Running& running : record_.plans) {
    auto& sum = out[running.plan.name];
    sum = numbers({}, {});
    for (const Move& move : running.plan.moves)
      if (const auto it = by_area.find(move.area); it != by_area.end())
        add(sum, numbers(it->second.first, it->second.second), 1);
  }
  return out;
}

// S3: every session of the roster acts on the record, or was seen to have ended long enough ago.
bool Mover::settled(const coordination::Looked& looked) {
  std::erase_if(gone_, [&](const auto& gone) { return !record_.roster.count(gone.first); });
  bool all = true;
  for (const auto& [session, name] : record_.roster) {
    const auto lives = looked.living.find(session);
    if (lives == looked.living.end()) {
      const Time since = gone_.emplace(session, looked.now).first->second;
      all &= looked.now >= since + longest_ || (without_ & kLongest);
      continue;
    }
    gone_.erase(session);
    const auto seen = lives->second.seen.find(kName);
    all &= (seen != lives->second.seen.end() && seen->second >= record_.epoch) || (without_ & kAcknowledged);
  }
  return all;
}

std::optional<coordination::Duty::Draft> Mover::next(const coordination::Looked& looked) {
  if (std::exchange(term_, looked.term) != looked.term) gone_.clear(), spans_.clear();
  const bool all = settled(looked);
  Record next = record_;
  Draft draft;
  for (const auto& [session, fact] : looked.living) next.roster.emplace(session, fact.name);
  if (all) {
    std::erase_if(next.roster, [&](const auto& edge) { return !looked.living.count(edge.first); });
    // what is new is acted on as it stands, each area wholly at its old side, before anything moves
    end(next);
    const std::size_t under_way = next.plans.size();
    take_asked(looked, next, draft);
    for (std::size_t i = 0; i < under_way; ++i) step(looked, next.plans[i]);
  }
  busy_ = !all || !next.plans.empty();
  if (next == record_ && draft.answered.empty()) return std::nullopt;
  next.epoch = record_.epoch + 1;
  next.term = looked.term;
  draft.state = encode(next);
  if (draft.state.size() > store::kMostValue)
    return std::nullopt;  // told of by the status: it does not go on
  return draft;
}

// What staff asked for since. A plan that can't be taken is answered with the reason.
void Mover::take_asked(const coordination::Looked& looked, Record& next, Draft& draft) const {
  const auto running = [&](const std::string& name) {
    return std::find_if(next.plans.begin(), next.plans.end(),
                        [&](const Running& r) { return r.plan.name == name; });
  };
  for (const auto& [what, text] : looked.asked) {
    draft.answered.push_back(what);
    if (what.starts_with(kWishAsked)) {
      const auto it = running(what.substr(std::string(kWishAsked).size()));
      if (it == next.plans.end()) continue;
      it->halted = text == "halt";
      it->why = it->halted ? "staff asked for it" : it->back ? it->why : "";
    } else if (what.starts_with(kPlanAsked)) {
      const std::string name = what.substr(std::string(kPlanAsked).size());
      const std::string why = admit(next, name, text);
      if (!why.empty()) next.ended[name] = "turned down: " + why;
    }
  }
}

// Only once every edge acts on its last step.
void Mover::end(Record& next) const {
  std::erase_if(next.plans, [&](const Running& running) {
    const std::size_t last = running.back ? 0 : running.done();
    if (std::any_of(running.steps.begin(), running.steps.end(), [&](auto step) { return step != last; }))
      return false;
    next.ended[running.plan.name] = running.back ? "went back: " + running.why : "done";
    for (const Move& move : running.plan.moves) {
      const std::string& at = running.back ? move.from : move.to;
      next.homes[move.area] = {at, running.plan.origins.at(at)};
    }
    return true;
  });
  while (next.ended.size() > kMostEnded) next.ended.erase(next.ended.begin());
}

// ---- one plan, one step

// A stage's time and its span are counted from when this owner first saw the whole fleet act on it.
void Mover::step(const coordination::Looked& looked, Running& running) {
  if (running.halted) {
    spans_.erase(running.plan.name);
    return;
  }
  Span& span = spans_[running.plan.name];
  if (span.steps != running.steps) {
    span = {running.steps, looked.now, {}};
    for (const auto& [session, fact] : looked.living)
      if (const auto it = fact.tallies.find(running.plan.name); it != fact.tallies.end())
        span.from[session] = it->second;
  }
  const std::size_t n = running.plan.stages.size();
  Duration hold{};
  bool in_stage = false;
  for (const auto step : running.steps)
    if (step > 0 && step <= n) in_stage = true, hold = std::max(hold, running.plan.stages[step - 1].hold);
  if (in_stage && looked.now < span.since + hold) return;
  if (in_stage && running.plan.gate) {
    const Verdict verdict = judge(looked, running, span);
    // all is on one side at the last stage, so there is nothing left to compare with
    const bool compares = std::any_of(running.steps.begin(), running.steps.end(),
                                      [&](auto step) { return step > 0 && step < n; });
    if (compares && verdict.word == Verdict::Word::too_few) return;
    if (verdict.word == Verdict::Word::bad) {
      running.why = verdict.why;
      if (running.plan.on_fail == OnFail::back && !running.back)
        running.back = true;
      else
        running.halted = true;
      return;
    }
  }
  if (running.back) return step_back(running);
  const std::vector<std::size_t> before = running.steps;
  for (std::size_t i = 0; i < before.size(); ++i) {
    const auto& after = running.plan.moves[i].after;
    const bool free = std::all_of(after.begin(), after.end(), [&](TableGroupId area) {
      for (std::size_t j = 0; j < before.size(); ++j)
        if (running.plan.moves[j].area == area) return before[j] == running.done();
      return true;
    });
    if (before[i] == 0 && !free && !(without_ & kOrder)) continue;
    if (before[i] < running.done()) ++running.steps[i];
    if (running.steps[i] == running.stopped() && (without_ & kStop)) ++running.steps[i];
  }
}

void Mover::step_back(Running& running) const {
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

Verdict Mover::judge(const coordination::Looked& looked, const Running& running, const Span& span) const {
  std::vector<std::int64_t> sum;
  for (const auto& [session, fact] : looked.living) {
    const auto now = fact.tallies.find(running.plan.name);
    if (now == fact.tallies.end()) continue;
    add(sum, now->second, 1);
    if (const auto was = span.from.find(session); was != span.from.end()) add(sum, was->second, -1);
  }
  return migration::judge(*running.plan.gate, sum, running.back);
}

}  // namespace yokestream::migration
