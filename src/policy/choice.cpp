// Where a query goes: which engines have room, which of them is best, how long it may take.
#include "impl.h"

namespace yokestream::policy {
namespace {

constexpr double kTie = 0.10;        // share: estimates this close are one; fewer threads a core decide
constexpr double kMemoryAll = 1.0;   // of its memory, by what is seen of all fronts' queries
constexpr double kMemoryTold = 0.8;  // the same where reports tell it: near 1 most run short and spill
constexpr double kFullAlone = 4;     // the same where nearly all are this front's: some of them stand still
constexpr double kFullSeldom =
    2.6;                          // to one front of many: its view is old, and most still do all their work
constexpr double kMargin = 1.3;   // mean errors of an estimate kept free under pressure
constexpr double kMemory = 1.5;   // times the memory told: needs lie under it, neighbours leave some unused
constexpr double kSpread = 0.34;  // healthy share under which the evidence is doubted, not the engines
constexpr int kProbes = 2;        // engines probed for a query: more would all find the same idle one
constexpr Duration kLookAgain = milliseconds(500);  // a held query looks around again
constexpr double kLookFrom = 0.6;                   // of full, pool's mean, from which all look around
constexpr double kViewFresh = 0.25;                 // seconds for which a report is as good as a probe
constexpr double kFresh = 0.8;  // weight of an engine's report from which it is as good as a probe
constexpr double kSpare = 0.7;  // of what makes an engine full: room for what is over its quota

}  // namespace

bool AdmissionController::Impl::has_room(const Query& q, const Engine& e) const {
  // Danger: an engine that turns queries away at once looks idle and quick, and draws all of them. It gets
  // none for a while, longer each time, until it serves again.
  if (now < e.full_until) return false;
  if (sees_others()) {
    const double all = pool_memory < 0 ? kMemoryAll : kMemoryTold;
    const double most = all + (kMemory - all) * share;
    if (e.memory > 0 && e.granted + other_memory(e) + grant(q, e) > most * e.memory) return false;
    if (e.threads + other_threads(e) + cls(q).threads > full(q) * e.cores * e.warm) return false;
  }
  if (e.running.empty()) return true;
  if (e.memory > 0 && e.granted + grant(q, e) > kMemory * e.memory * e.part) return false;
  return e.threads < std::max(1.0, (pressed(e) ? e.bound : kFull * e.cores * e.part) * e.warm);
}

// A part of an engine under one query binds nothing there; the sum over engines does. Danger: where each
// part holds a query the engines' own bounds bind, and this sum, cut by every answer while all engines are
// slow for a reason of their own, would leave them empty long after.
bool AdmissionController::Impl::pool_room(const Query& q) const {
  if (mean_part >= cls(q).threads) return true;
  return threads == 0 || strain < std::log(kPressure) || threads + cls(q).threads <= pool_bound;
}

bool AdmissionController::Impl::seen(const Engine& e) const { return probes && e.fresh > kFresh; }

double AdmissionController::Impl::full(const Query& q) const {
  const double all = std::max(kFullSeldom * (1 - share), kFullAll + (kFullAlone - kFullAll) * share);
  return all * (q.over_share ? kSpare : 1);
}

bool AdmissionController::Impl::sees_others() const {
  return s.manager_count > 1 && (s.may_message || pool_others > 0);
}

double AdmissionController::Impl::grant(const Query& q, const Engine& e) const {
  const double want = q.told.memory_mb * classes[pos(q.told.query_class)].memory_factor;
  return e.memory > 0 ? std::min(want, e.memory * s.max_memory_grant_ratio) : want;
}

// Danger: engines fill unseen by a front of many, until they page or thrash. Where probes tell more, a
// query waits a tick for a look at a few engines; more would make all fronts find the same idle one.
void AdmissionController::Impl::probe(Engine& e) {
  e.probed = now;
  ++probes_out;
  act(Probe{e.entry.engine});
}

bool AdmissionController::Impl::look_around(Query& q) {
  if (!probes || now + 2 * kTick >= q.deadline) return false;    // who comes with little time left can't wait
  const double calm = 1 - pool_others / (kLookFrom * kFullAll);  // then a light query finds room without
  if (!q.looked && q.work < mean_work_s && draw() < calm) return false;
  if (q.looked && now - *q.looked < kLookAgain) return now < *q.looked + kTick && probes_out > 0;
  q.looked = now;
  std::vector<Engine*> open;
  for (auto& [name, e] : engines) {
    const bool due = !e.ejected || now >= e.trial_at;  // a probe is a trial that costs no query
    if (due && may_send(q, e) && seconds(now - std::max(e.others_at, e.probed)) > kViewFresh)
      open.push_back(&e);
  }
  for (int k = 0; k < kProbes && !open.empty(); ++k) {
    const std::size_t i = static_cast<std::size_t>(draw() * static_cast<double>(open.size()));
    probe(*open[i]);
    open.erase(open.begin() + static_cast<std::ptrdiff_t>(i));
  }
  return probes_out > 0;
}

Choice AdmissionController::Impl::choose(const Query& q) {
  std::size_t up = 0, healthy = 0;
  for (const auto& [name, e] : engines) {
    if (e.entry.state != EngineState::up || !permitted(q.told, cls(q), e.entry)) continue;
    ++up, healthy += !e.ejected;
  }
  // Danger: a fault of this front or of the path makes all engines look bad; shunning all serves nobody.
  const bool doubt = static_cast<double>(healthy) < kSpread * static_cast<double>(up);
  Choice best;
  int best_rank = 0;
  double best_load = 0;
  const bool room = pool_room(q);
  for (auto& [name, e] : engines) {
    if (!may_send(q, e)) continue;
    // the trial query to return must be one that can be repeated and has not failed before
    const bool trial = e.ejected && now >= e.trial_at && e.running.empty() && q.attempts.empty() &&
                       cls(q).idempotency == Idempotency::idempotent;
    if (e.ejected && !trial && !doubt) continue;
    const double est = estimate(q, e);
    best.anywhere = true;
    if (est < best.least) best.least = est, best.quickest = &e;
    if (!room || !has_room(q, e)) continue;
    best.room += std::max(0.0, full(q) * e.cores * e.warm - e.threads - other_threads(e));
    // an engine just looked at comes before one of which only the pool's mean is known: it may be jammed
    const int rank = 2 * seen(e) + e.running.empty();
    // Danger: what is not seen makes the larger kind look idlest to all fronts at once. The part that is
    // not ours counts as random: idle engines get their share by capacity.
    const double unseen = -std::log(1 - draw()) * (1 - share) + 1e-3 * draw();
    const double load = (e.threads + other_threads(e) + cls(q).threads * share + unseen) / (e.cores * e.warm);
    bool better = !best.engine || rank > best_rank;
    if (!better && rank == best_rank) {
      better = est < best.estimate * (1 - kTie) || (est < best.estimate * (1 + kTie) && load < best_load);
    }
    if (!better) continue;
    best.engine = &e, best.estimate = est, best_rank = rank, best_load = load;
  }
  return best;
}

// Under pressure only an answer within the wanted time is worth an engine's work.
double AdmissionController::Impl::limit(const Query& q, const Engine& e, bool under_pressure) const {
  if (!under_pressure) return seconds(q.deadline - now);
  // Danger: in a backlog every query leaves as late as its estimate allows, and half end just late, for
  // nothing. The usual error of such estimates is kept free, the engine's own, lest a slow one make all
  // refuse.
  if (q.over_share) return 0;
  const double margin = kMargin * e.mean_error[pos(q.told.query_class)] * unloaded(q);
  return seconds(std::min(q.aim, q.deadline) - now) - margin;
}

}  // namespace yokestream::policy
