// The state of the decisions and the functions that hold them, each in the file that its comment names.
#pragma once

#include "state.h"

namespace yokestream::policy {

using std::chrono::milliseconds;

inline constexpr Duration kTick =
    milliseconds(20);                      // how often held queries, silence and deadlines are looked at
inline constexpr double kBiasStep = 0.05;  // same for the class bias: it is shared by all engines, so slower
inline constexpr double kPressure = 2.0;   // slowdown over best at which the bound binds
inline constexpr double kCut = 0.97;       // factor an outcome
inline constexpr double kStrainStep = 0.08;  // weight of one outcome in the pool's strain
inline constexpr double kStrainMost = 2.0;   // no outcome counts for more
inline constexpr double kFullAll = 1.8;      // threads a core of all fronts that make an engine full
inline constexpr double kFull =
    2.0;  // times the told share of cores: running threads that make an engine full
inline constexpr double kFailStep = 0.25;  // weight of one outcome in an engine's failing share
inline constexpr Duration kBackoffLeast =
    milliseconds(500);  // shunned at first for this long, doubled each time
inline constexpr Duration kBackoffMost = milliseconds(6000);  // longer would waste an engine that came back
inline constexpr Duration kFullLeast =
    milliseconds(200);  // first wait after an engine was full: an answer or two
inline constexpr double kPoolPrior =
    1;  // threads a core, and share of memory: the pool's mean before any report,
inline constexpr double kPriorMemory = 0.3;

struct AdmissionController::Impl : LearnedPool {
  Impl(const Settings& settings, std::uint64_t seed, Time at);

  const Settings s;
  std::uint64_t random;
  Time now;
  std::vector<Action>* out = nullptr;
  bool started = false;
  Time last_event{}, resumed = Time::min();
  std::vector<ClassState> classes;
  std::vector<InterferenceWeights> kinds;
  std::map<std::string, Engine> engines;
  std::map<QueryId, Query> queries;
  std::set<std::pair<Time, QueryId>> held;  // earliest deadline first
  std::map<OrderKey, KeyLine> keys;
  std::deque<Time> taken, extras;                // for the budget of further attempts
  std::vector<std::pair<double, Time>> buckets;  // a tenant: queries left, and when it was filled
  double fronts;                                 // this one's least part of the load is one over these
  double share;                                  // this front's part of the load on the engines
  std::map<std::string, LearnedState::Engine>
      handed;        // by another process, of engines not named by the list yet
  Time handed_at{};  // when it was learnt
  std::map<std::uint16_t, Engine*> by_hash;
  bool probes = false;  // engines are probed for what other fronts run
  int probes_out = 0;
  double pool_others = 0;   // threads of other fronts that nobody told of, a core
  double pool_memory = -1;  // the same of memory, as a share; below 0: not reported
  double cores = 0;         // of all engines that are up, as warm as they are
  double threads = 0;       // that this front runs on all engines
  double pool_bound = 0;    // most of these under pressure
  double mean_part = 0;     // cores of an engine, in the mean, that are this front's
  double strain = 0;        // pool: mean logarithm of time taken over best
  double price = 1e9;       // log of the most seconds of work for one unit of worth that are admitted
  double dearest = -1e9;    // the most that was asked lately
  Time priced = Time::min();
  double heard = 0;  // seconds of lowering the price that outcomes speak for

  double draw() { return next_uniform(random); }
  template <class A>
  void act(A action) {
    out->push_back(std::move(action));
  }

  const ClassSettings& cls(const Query& q) const { return s.classes[pos(q.told.query_class)]; }

  // estimate.cpp
  double unloaded(const Query& q) const;
  double estimate(const Query& q, const Engine& e) const;
  double behind_loads(const Query& q, const Engine& e) const;
  void tell(const Query& q, Attempt& a, const Engine& e, double rest);
  double told_from() const;
  double untold(const Engine& e) const;
  double other_threads(const Engine& e) const;
  double other_memory(const Engine& e) const;
  void view_pool();
  bool is_cold(const Engine& e) const;
  double warmth(const Engine& e) const;
  double usual_work(std::size_t i) const;
  double density(const Query& q) const;
  double usual_time(const Query& q, const Attempt& a) const;
  double dearness(const Query& q) const;

  // learning.cpp
  void learn(const Query& q, const Attempt& a, Engine& e, double took);
  double recent(const Engine& e) const;
  double slowdown(const Engine& e) const;
  bool pressed(const Engine& e) const;
  void see_others(Engine& e, double inflight, double busy);
  void read_report(Engine& e, const std::vector<double>& report);

  // rules.cpp
  bool may_send(const Query& q, const Engine& e) const;
  bool has_turn(const Query& q) const;
  bool extra_left() const;
  bool may_refuse(const Query& q) const;
  bool hopeless(const Query& q) const;
  bool over_share(TenantId tenant);

  // cold.cpp
  bool cold_room(const Engine& e, double work) const;
  double cold_interval(const Engine& e, double work) const;

  // choice.cpp
  bool has_room(const Query& q, const Engine& e) const;
  bool pool_room(const Query& q) const;
  bool seen(const Engine& e) const;
  double full(const Query& q) const;
  bool sees_others() const;
  double grant(const Query& q, const Engine& e) const;
  void probe(Engine& e);
  bool look_around(Query& q);
  Choice choose(const Query& q);
  double limit(const Query& q, const Engine& e, bool under_pressure) const;

  // placing.cpp
  bool place(Query& q, bool may_go);
  void send(Query& q, Engine& e, double est);
  std::uint32_t priority(const Query& q) const;
  void hold(Query& q);
  void unhold(Query& q);
  void give_up(Query& q, double over);
  void release(bool sweep);
  void forget(QueryId id);
  void set_price();

  // health.cpp
  void good_sign(Engine& e, bool answered, Time sent);
  void bad_sign(Engine& e, double weight);
  void watch_silence();
  bool answer_lost(const Engine& e, const Attempt& a) const;
  bool overdue(const Query& q, const Attempt& a) const;
  void cancel(Query& q);
  void judge_progress(Query& q, const Attempt& a, double done);

  // outcomes.cpp
  void on(const AttemptEnded& end);
  void on(const AttemptProgress& note);
  void on(const ResponseStarted& start);
  void on(const ProbeEnded& probe);

  // engines.cpp
  void on(const EngineList& list);
  void refresh_views();
  void note_entry(const EngineEntry& entry);

  LearnedState value() const {
    LearnedState all{*this, {classes.begin(), classes.end()}, kinds, {}};
    for (const auto& [name, e] : engines)
      if (e.entry.state != EngineState::gone) all.engines.push_back({e.entry.engine, e.entry.start_time, e});
    return all;
  }

  // handover.cpp
  void know(Engine& e, const LearnedState::Engine& known);

  // policy.cpp
  void on(const QueryArrived& told);
  void on(const ClientDisconnected& left);
  void on(const PeerMessage& message);
  void on(const TimerFired& woken);
  void on(const EligibilityChanged& told) {
    const auto it = queries.find(told.query);
    if (it == queries.end()) return;
    Query& q = it->second;
    q.told.eligible_engines = told.eligible_engines;
    if (q.finished || q.out > 0 || !told.eligible_engines || told.eligible_engines->any()) return;
    give_up(q, 1);  // nothing that is eligible: at once, never held
    forget(told.query);
  }
  void handle(Time at, const Event& event, std::vector<Action>& actions);
};

}  // namespace yokestream::policy
