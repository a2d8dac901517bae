// Sends, refuses or holds; what is held leaves earliest deadline first; the price of what is refused.
#include "impl.h"

namespace yokestream::policy {
namespace {

constexpr double kStrainAim = 0.3;     // strain (log of slowdown over best) that the price steers to
constexpr double kPriceRate = 3.0;     // change of the log price, a second and unit of strain
constexpr double kDearestFade = 0.01;  // by which the dearest query seen is forgotten, a second
constexpr double kStrainFade = 8;      // seconds without outcomes after which a third of the strain is left
constexpr double kPriceLeast = 3;  // under the dearest seen, as a logarithm: cheaper ones are always tried
constexpr double kDear = 1.0;      // seconds after which one refused for its price may come back

}  // namespace

// Sends, refuses or goes on holding a query. False: it waits for room, so nothing behind it may pass.
bool AdmissionController::Impl::place(Query& q, bool may_go) {
  if (!has_turn(q) && now + kTick < q.deadline) return true;
  if (price < dearest && dearness(q) > price && !hopeless(q)) return give_up(q, kDear), true;
  if (may_go && look_around(q)) return true;
  const Choice c = choose(q);
  if (q.over_share && c.anywhere && !c.engine) return give_up(q, kDear), true;
  // Danger: many fronts see the same room at once, and all fill it. A front's part of it below the query's
  // threads is a chance to go, drawn again on the next tick, when the others' sends are known. Not where
  // the engine was probed just now: few others look at it.
  const bool chance =
      !sees_others() || (c.engine && seen(*c.engine)) || draw() * cls(q).threads < c.room * share;
  if (c.engine && may_go && chance) {
    const double left = limit(q, *c.engine, q.waited || pressed(*c.engine));
    if (c.estimate <= left)
      send(q, *c.engine, c.estimate);
    else
      give_up(q, c.estimate - left);
    return true;
  }
  if (now + 2 * kTick >= q.deadline || hopeless(q)) return give_up(q, 0), true;
  const double over = c.quickest ? c.least - limit(q, *c.quickest, true) : 0;
  if (over > 0) return give_up(q, over), true;
  q.waited = q.waited || c.anywhere;
  return !c.anywhere;
}

void AdmissionController::Impl::send(Query& q, Engine& e, double est) {
  unhold(q);
  Attempt a;
  a.engine = e.entry.engine.name;
  a.sent = now;
  e.n[pos(q.told.query_class)] += 1;
  e.threads += cls(q).threads;
  threads += cls(q).threads;
  e.running.insert(q.told.query);
  a.mix = e.n;
  a.unloaded = unloaded(q);
  a.estimate = est;
  a.memory = grant(q, e);
  e.granted += a.memory;
  if (s.memory_grants || s.query_priorities)
    act(SetExecutionTerms{q.told.query, s.memory_grants ? a.memory : 0,
                          s.query_priorities ? priority(q) : 1});
  if (!q.attempts.empty()) extras.push_back(now);
  e.cold_turn = now;
  e.cold_wait = 1;
  if (e.ejected) e.trial_at = now + e.backoff;
  a.behind_load = behind_loads(q, e) > 0;
  if (cls(q).locks_table_group) e.load_begins(q.told.table_group, pos(q.told.query), now + from_seconds(est));
  tell(q, a, e, std::max(1e-3, est));
  q.attempts.push_back(std::move(a));
  ++q.out;
  act(Send{q.told.query, e.entry.engine, Duration{}});
}

std::uint32_t AdmissionController::Impl::priority(const Query& q) const {
  const double d = density(q) / std::max(1e-9, mean_value_per_work_second);
  return cls(q).locks_table_group || d >= 1 ? 3 : d >= 0.1 ? 2 : 1;
}

void AdmissionController::Impl::hold(Query& q) {
  q.held = true;
  held.emplace(q.deadline, q.told.query);
}

void AdmissionController::Impl::unhold(Query& q) {
  if (q.held) held.erase({q.deadline, q.told.query});
  q.held = false;
}

// The final answer, at once; what is over the limit tells when it is worth coming back.
void AdmissionController::Impl::give_up(Query& q, double over) {
  unhold(q);
  q.finished = true;
  if (may_refuse(q)) {
    act(Reject{q.told.query, s.may_send_retry_after
                                 ? std::min(s.max_retry_after, from_seconds(std::max(0.05, over)))
                                 : Duration{}});
  } else {
    act(Fail{q.told.query});
  }
}

// Behind one that waits for room nothing goes, but on a sweep what no longer fits is refused all the same.
void AdmissionController::Impl::release(bool sweep) {
  bool blocked = now < resumed + kTick;
  sweep = sweep || blocked;
  std::vector<QueryId> order;
  for (const auto& [deadline, id] : held) order.push_back(id);
  for (const QueryId id : order) {
    if (!place(queries.at(id), !blocked)) blocked = true;
    if (blocked && !sweep) break;
  }
  for (const QueryId id : order) forget(id);
}

// A query is kept until it is finished and its last attempt has ended: its key waits for that.
void AdmissionController::Impl::forget(QueryId id) {
  const auto it = queries.find(id);
  if (it == queries.end() || !it->second.finished || it->second.out > 0) return;
  const Query& q = it->second;
  if (cls(q).ordered && q.told.order_key) {
    auto& line = keys.at(*q.told.order_key).line;
    line.erase(std::find(line.begin(), line.end(), id));
  }
  queries.erase(it);
}

// Danger: more work is asked for than the engines can do, for long (a mix turned heavy, engines lost), and
// no bound on own threads tells which to refuse. A price on work for worth, raised while all engines
// together answer slower than the aim, refuses the dearest first; it starts at the dearest seen, refusing
// none. Danger: a front of many hears little, and its strain is old news while the price goes on falling:
// all fronts then refuse for what a few answers said seconds ago. So it falls only as far as outcomes came.
void AdmissionController::Impl::set_price() {
  const double dt = priced == Time::min() ? 0 : std::min(1.0, seconds(now - priced));
  priced = now;
  dearest -= kDearestFade * dt;
  strain *= std::exp(-dt / kStrainFade);
  const double over = strain - kStrainAim;
  const double told = over > 0 ? std::min(dt, heard) : dt;
  heard = over > 0 ? heard - told : 0;
  price = std::clamp(price - kPriceRate * over * told, dearest - kPriceLeast, dearest);
}

}  // namespace yokestream::policy
