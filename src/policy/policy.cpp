// The decisions of lynxstand. Interface: include/lynxstand/admission.h. Reasons: docs/design.md.
//
// The ordinary path: predict a query's time from the mix this front runs on each engine (estimate), pick the
// lowest (choose), admit it if that fits the time left, else refuse it (place). Under pressure a bound on
// running threads per engine holds queries back; they leave earliest deadline first (release).

#include "state.h"

namespace lynxstand {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTick = milliseconds(20);  // how often held queries, silence and deadlines are looked at
constexpr double kFitStep = 0.15;             // share of an error that one outcome corrects (LMS step)
constexpr double kBiasStep = 0.05;     // same for the class bias: it is shared by all engines, so slower
constexpr double kOutlier = 3.0;       // errors count as at most this many mean errors
constexpr double kTie = 0.10;          // share: estimates this close are one; fewer threads a core decide
constexpr double kBillsPresumed = 3;   // answers for which the told work is taken to be right, at first
constexpr double kLevelStep = 0.03;    // weight of one outcome in a class's level: some 30 make a mean
constexpr double kBestRise = 0.002;    // share by which the best follows a worse level: over minutes
constexpr double kSlowStep = 0.1;      // weight of one outcome in an engine's slowdown
constexpr double kPressure = 2.0;      // slowdown over best at which the bound binds
constexpr double kNearBest = 1.6;      // below this the bound widens
constexpr double kFarFromBest = 2.2;   // above this the bound is cut
constexpr double kWiden = 0.05;        // threads a core and outcome, over the bound
constexpr double kCut = 0.97;          // factor an outcome
constexpr double kStrainStep = 0.08;   // weight of one outcome in the pool's strain
constexpr double kStrainMost = 2.0;    // no outcome counts for more
constexpr double kStrainAim = 0.3;     // strain (log of slowdown over best) that the price steers to
constexpr double kPriceRate = 3.0;     // change of the log price, a second and unit of strain
constexpr double kPriceHeard = 0.05;   // seconds by which one outcome may lower it
constexpr double kDearestFade = 0.01;  // by which the dearest query seen is forgotten, a second
constexpr double kFewOutcomes = 6;     // recent outcomes at which an engine's own slowdown counts half
constexpr double kSlowFade = 10;       // seconds after which they count a third
constexpr double kTellWork = 0.0065;   // mean works for each receiver that a message is worth
constexpr double kTellLeast = 0.1;   // mean works under which a query is not told of, however few receive it
constexpr double kReportFade = 1.5;  // seconds after which a report counts a third
constexpr double kToldLong = 3;      // times its estimate: a query whose end no peer told of is forgotten
constexpr double kStrainFade = 8;    // seconds without outcomes after which a third of the strain is left
constexpr double kPriceLeast = 3;    // under the dearest seen, as a logarithm: cheaper ones are always tried
constexpr double kMeansStep = 0.02;  // weight of an arrival in the means of what arrives
constexpr double kDensityStep = 0.005;  // the same in the mean worth of a second of work: minutes
constexpr double kMemoryAll = 1.0;      // of its memory, by what is seen of all fronts' queries
constexpr double kMemoryTold = 0.8;     // the same where reports tell it: near 1 most run short and spill
constexpr double kFullAlone = 4;  // the same where nearly all are this front's: some of them stand still
constexpr double kFullAll = 1.8;  // threads a core of all fronts that make an engine full
constexpr double kFullSeldom =
    2.6;                            // to one front of many: its view is old, and most still do all their work
constexpr double kLostNotes = 2.6;  // notes missed by one attempt, its engine heard from: its answer is lost
constexpr Duration kGap = milliseconds(100);  // without an event of its own: this front stood still
constexpr double kDear = 1.0;                 // seconds after which one refused for its price may come back
constexpr double kHeadroom = 1.25;  // of memory over what is told, at first; what engines add themselves
constexpr double kMargin = 1.3;     // mean errors of an estimate kept free under pressure
constexpr double kMemory = 1.5;     // times the memory told: needs lie under it, neighbours leave some unused
constexpr double kPartStep = 0.02;  // share by which an outcome moves the part
constexpr double kFull = 2.0;       // times the told share of cores: running threads that make an engine full
constexpr double kFailStep = 0.25;  // weight of one outcome in an engine's failing share
constexpr double kRefusedStep = 0.5;                   // the same of a refused connection
constexpr double kFailing = 0.45;                      // failing share at which an engine is shunned
constexpr double kWell = 0.03;                         // failing share of one that serves again
constexpr Duration kBackoffLeast = milliseconds(500);  // shunned at first for this long, doubled each time
constexpr Duration kBackoffMost = milliseconds(6000);  // longer would waste an engine that came back
constexpr Duration kFullLeast = milliseconds(200);  // first wait after an engine was full: an answer or two
constexpr double kSilentNotes = 3.5;                // notes missed in a row that make an engine silent
constexpr Duration kSilentLeast = milliseconds(1500);  // no shorter silence counts: engines stall for moments
constexpr double kSpread = 0.34;     // healthy share under which the evidence is doubted, not the engines
constexpr double kColdShare = 0.8;   // of the work that topples a cold engine: it may be slower than told
constexpr double kColdGrowth = 0.5;  // of an even growth while it warms up, which is not told
constexpr double kColdSpread = 1.5;  // standard deviations of all fronts' work together that are kept free
constexpr double kFullUse = 0.85;    // core use that the capacity of an engine means
constexpr double kBadPlan = 3.0;     // times the expected time: an attempt with a bad plan
constexpr double kScatter = 2.0;     // mean deviations of a class's times (logarithms) that are no bad plan
constexpr double kOverdue = 10.0;    // the same where no notes tell: told work scatters
constexpr int kProbes = 2;           // engines probed for a query: more would all find the same idle one
constexpr Duration kLookAgain = milliseconds(500);    // a held query looks around again
constexpr Duration kProbeAnswer = milliseconds(400);  // without an answer: the probe is lost
constexpr double kLookFrom = 0.6;                     // of full, pool's mean, from which all look around
constexpr double kViewFresh = 0.25;                   // seconds for which a report is as good as a probe
constexpr double kFresh = 0.8;    // weight of an engine's report from which it is as good as a probe
constexpr double kPoolFade = 6;   // seconds after which an engine's report counts a third in the pool's mean
constexpr double kPoolPrior = 1;  // threads a core, and share of memory: the pool's mean before any report,
constexpr double kPriorMemory = 0.3;
constexpr double kPriorWeight = 0.3;  // and its weight, in fresh reports

constexpr double kLoadRest = 0.2;  // seconds that a load past its estimate is taken to need still
constexpr Duration kLoadOverdue = milliseconds(3000);  // past its estimate: the end of a load is lost
constexpr Duration kUnknownRest = milliseconds(1000);  // for a load known only by those that wait for it
constexpr double kShareStep = 0.01;                    // weight of a load report in this front's share

constexpr Duration kForget = std::chrono::seconds(60);  // after its last word: an engine that is gone

constexpr Duration kFollowLeast = milliseconds(250);  // before the list is asked for again
constexpr int kFollowParts = 16;                      // of the time within which it has to be

constexpr double kQuotaSlack = 1.2;  // times the quota: this front's part of it is a guess
constexpr double kSpare = 0.7;       // of what makes an engine full: room for what is over its quota
constexpr double kQuotaBurst = 2.0;  // seconds of quota that may come at once
constexpr int kMostVotes = 40;       // arrivals of another kind that change what is usual

}  // namespace

struct AdmissionController::Impl {
  Impl(const Settings& settings, std::uint64_t seed, Time at)
      : s(settings), random(seed), now(at), classes(settings.classes.size()) {
    check(settings);
    kinds.assign(s.kinds.size(), zero_weights(classes.size()));
    for (auto& c : classes) c.memory_factor = kHeadroom;
    share = 1.0 / s.fronts;
    probes = s.may_probe && s.fronts > 1 && s.reports != ReportSource::none && tells_what_runs(s);
    buckets.assign(s.tenants.size(), {1e9, now});
    own_seen = share, all_seen = 1;
  }

  const Settings s;
  std::uint64_t random;
  Time now;
  std::vector<Action>* out = nullptr;
  bool started = false;
  Time last_event{}, resumed = Time::min();
  std::vector<ClassState> classes;
  std::vector<Weights> kinds;
  std::map<std::string, Engine> engines;
  std::map<QueryId, Query> queries;
  std::set<std::pair<Time, QueryId>> held;  // earliest deadline first
  std::map<OrderKey, KeyLine> keys;
  std::deque<Time> taken, extras;                // for the budget of further attempts
  std::vector<std::pair<double, Time>> buckets;  // a tenant: queries left, and when it was filled
  double own_seen = 0, all_seen = 0;             // smoothed: own queries, and all, on the engines that report
  double share;                                  // this front's part of the load on the engines
  std::map<std::uint16_t, Engine*> by_hash;
  bool probes = false;  // engines are probed for what other fronts run
  int probes_out = 0;
  double pool_others = 0;   // threads of other fronts that nobody told of, a core
  double pool_memory = -1;  // the same of memory, as a share; below 0: not reported
  double cores = 0;         // of all engines that are up, as warm as they are
  double threads = 0;       // that this front runs on all engines
  double pool_bound = 0;    // most of these under pressure
  double mean_part = 0;     // cores of an engine, in the mean, that are this front's
  double mean_work = 0;     // of all that arrives, seconds
  double light_time = 0, light_threads = 0, light_memory = 0;  // smoothed, of what is not told of
  double mean_threads = 1, mean_memory = 0;                    // of such a query that runs
  double strain = 0;                                           // pool: mean logarithm of time taken over best
  double price = 1e9;     // log of the most seconds of work for one unit of worth that are admitted
  double dearest = -1e9;  // the most that was asked lately
  Time priced = Time::min();
  double heard = 0;         // seconds of lowering the price that outcomes speak for
  double mean_density = 0;  // worth per second of work, as it arrives

  double draw() { return next_uniform(random); }
  template <class A>
  void act(A action) {
    out->push_back(std::move(action));
  }
  const ClassSettings& cls(const Query& q) const { return s.classes[pos(q.told.cls)]; }

  // ---- the estimate

  double unloaded(const Query& q) const { return std::max(1e-3, q.work / cls(q).threads); }

  double estimate(const Query& q, const Engine& e) const {
    const std::size_t i = pos(q.told.cls);
    const double mix = interference(e.weights, i, e.n) + e.weights[i][i];  // the newcomer counted in
    return unloaded(q) * (classes[i].bias + mix) / e.warm + behind_loads(q, e);
  }

  // Danger: a load holds its tables, and whatever waits for them stands still until it ends, however idle the
  // engine. The mix of classes can't tell; the rest of the longest such load is added to the estimate.
  double behind_loads(const Query& q, const Engine& e) const {
    if (!cls(q).waits_for_loads && !cls(q).loads_tables) return 0;
    double rest = 0;
    const auto [from, to] = e.loads.equal_range(short_tables(q.told.tables));
    for (auto it = from; it != to; ++it)
      rest = std::max(rest, std::max(kLoadRest, seconds(it->second.second - now)));
    return rest;
  }

  // Danger: at an engine shared with many fronts dense queries pile up by chance until it pages or thrashes.
  // Where no probes show it, what is worth the price of messages to every peer is told of, when sent (5
  // bytes, 7 for a load) and at its end (4, with the engine's report). A lost message costs a wrong guess for
  // a while.
  void tell(const Query& q, Attempt& a, const Engine& e, double rest) {
    const bool begins = rest > 0;
    if (begins) a.told = s.may_message && s.fronts > 1 && !probes && q.work >= told_from() * mean_work;
    if (!a.told) return;
    const std::uint16_t where = short_hash(e.entry.engine.name);
    const bool load = cls(q).loads_tables;
    if (begins)
      return act(TellPeers{told_begin(where, pos(q.told.cls), a.memory, rest, q.told.tables, load)});
    act(TellPeers{told_end(where, e.others_at == now ? std::min(254.0, e.reported) : 255)});
  }
  double told_from() const { return kTellLeast + kTellWork * (s.fronts - 1); }
  // What other fronts run and nobody told of: by the last report, and as it ages by the pool's mean.
  double untold(const Engine& e) const {
    return e.fresh * e.others + (is_cold(e) ? 0 : (1 - e.fresh) * pool_others * e.cores);
  }
  double other_threads(const Engine& e) const { return e.told_threads + untold(e); }
  double other_memory(const Engine& e) const {
    if (pool_memory < 0) return e.told_memory + untold(e) / mean_threads * mean_memory;
    return e.told_memory + e.fresh * e.others_memory +
           (is_cold(e) ? 0 : (1 - e.fresh) * pool_memory * e.memory);
  }
  // Danger: answers come most from where most runs. A mean over answers shows the crowded engines for all,
  // and to a front of many, which meets most engines seldom, all look full, the idle ones first: none dares
  // to send there, and no answer puts it right. So each engine counts once, by the age of its last report,
  // beside what is presumed. One that is cold counts for itself alone: its ration keeps it from being
  // filled.
  void view_pool() {
    const double prior = kPriorWeight * (1 - share);  // nothing is presumed of others where there are none
    double weight = kPriorWeight, others = prior * kPoolPrior, memory = prior * kPriorMemory;
    for (auto& [name, e] : engines) {
      e.fresh = std::exp(-seconds(now - e.others_at) / kReportFade);
      if (e.entry.state != EngineState::up || is_cold(e) || e.others_at == kLongAgo) continue;
      const double w = std::exp(-seconds(now - e.others_at) / kPoolFade);
      weight += w;
      others += w * e.others / e.cores;
      if (e.memory > 0) memory += w * e.others_memory / e.memory;
    }
    if (pool_others > 0) pool_others = others / weight;
    if (pool_memory >= 0) pool_memory = memory / weight;
  }
  bool is_cold(const Engine& e) const { return e.cold_since && now - *e.cold_since < s.cold; }

  // Danger: a cold engine does a part of its work, and its kind's weights don't know. Its time is stretched
  // by the part that it is told to have, growing evenly until it is warm.
  double warmth(const Engine& e) const {
    if (!e.cold_since || s.cold <= Duration{}) return 1;
    const double age = seconds(now - *e.cold_since) / seconds(s.cold);
    return age >= 1 ? 1 : s.start_capacity + (1 - s.start_capacity) * std::max(0.0, age);
  }

  void learn(const Query& q, const Attempt& a, Engine& e, double took) {
    const std::size_t i = pos(q.told.cls);
    auto& c = classes[i];
    const double ratio = took / a.unloaded * e.warm;
    const double raw = ratio - c.bias - interference(e.weights, i, a.mix);
    // an outlier counts for twice the prediction at most: means of what takes 30 times as long run away
    const double most = std::min(kOutlier * c.mean_error, std::max(1.0, ratio - raw));
    const double error = std::clamp(raw, -kOutlier * c.mean_error, most);
    c.mean_error += kBiasStep * (std::abs(error) - c.mean_error);
    e.error[i] += kBiasStep * (std::abs(error) - e.error[i]);
    c.bias = std::max(0.1, c.bias + kBiasStep * error / std::sqrt(norm(a.mix)));
    learn_weights(e.weights, i, a.mix, kFitStep * error);
    if (pos(e.entry.kind) < kinds.size()) {
      Weights& kind = kinds[pos(e.entry.kind)];
      const double off = ratio - c.bias - interference(kind, i, a.mix);
      const double cut = kOutlier * c.mean_error;
      learn_weights(kind, i, a.mix, kFitStep * std::clamp(off, -cut, cut));
    }
    // told work scatters, single outcomes say little: means of logarithms are compared, engine's to best
    const double level = std::log(std::max(1e-3, ratio));
    ++c.outcomes;
    c.level += std::max(kLevelStep, 1 / c.outcomes) * (level - c.level);
    c.spread += std::max(kLevelStep, 1 / (c.outcomes + 1)) * (std::abs(level - c.level) - c.spread);
    if (c.outcomes <= 1 / kLevelStep || c.level < c.best)
      c.best = c.level;
    else
      c.best += kBestRise * (c.level - c.best);
    const double over = std::min(level - c.best, kStrainMost);
    strain += kStrainStep * (over - strain);
    heard = std::min(1.0, heard + kPriceHeard);
    e.slow_count = recent(e) + 1;
    e.slow_at = now;
    e.slow += std::max(kSlowStep, 1 / e.slow_count) * (over - e.slow);
    const double widest = kFull * cores * share;
    if (strain < std::log(kNearBest) && !held.empty()) pool_bound += kWiden * s.classes[i].threads;
    if (strain > std::log(kFarFromBest)) pool_bound *= kCut;
    pool_bound = std::clamp(pool_bound, std::min(1.0, widest), widest);
    if (slowdown(e) < kNearBest) e.bound += kWiden * s.classes[i].threads;
    if (slowdown(e) > kFarFromBest) e.bound *= kCut;
    // Danger: the told front count says little of a front's part: peers die, are idle, or carry unequal
    // loads. Near best, with queries held here, others leave room: the part grows; it goes back as latency
    // grows.
    if (slowdown(e) < kNearBest && !held.empty()) e.part *= 1 + kPartStep;
    if (slowdown(e) > kPressure) e.part *= 1 - 2 * kPartStep;
    e.part = std::clamp(e.part, share, 1.0);
    e.bound = std::clamp(e.bound, 1.0, std::max(1.0, kFull * e.cores * e.part));
  }

  // ---- rules

  // Every send, first or later, passes here; nothing else keeps the rules.
  bool may_send(const Query& q, const Engine& e) const {
    const auto& c = cls(q);
    if (q.finished || q.streaming || q.out > 0 || q.attempts.size() >= s.most_attempts) return false;
    if (now >= q.deadline || e.entry.state != EngineState::up) return false;  // drains: at once
    if (!permitted(c, e.entry)) return false;
    if (c.repeatable == Repeatable::never && q.may_have_run) return false;
    if (c.repeatable == Repeatable::keyed && q.may_run_since) {
      if (now - *q.may_run_since >= c.repeat_window - kTick) return false;
      const auto first = engines.find(q.ran_on);
      if (first == engines.end()) return false;
      if (c.repeat_group == RepeatGroup::zone && first->second.entry.zone != e.entry.zone) return false;
      if (c.repeat_group == RepeatGroup::cell && first->second.entry.cell != e.entry.cell) return false;
    }
    if (!has_turn(q)) return false;
    if (!q.attempts.empty() && !extra_left()) return false;
    return cold_room(e, std::max(usual_work(pos(q.told.cls)), q.work));
  }
  bool has_turn(const Query& q) const {
    if (!cls(q).in_order || !q.told.order_key) return true;
    const auto& key = keys.at(*q.told.order_key);
    return key.line.front() == q.told.query && (now >= key.pause_until || !q.attempts.empty());
  }
  bool extra_left() const {
    if (!s.extra_limited) return true;
    const auto within = [&](const std::deque<Time>& times, Time from) {
      return static_cast<double>(times.end() - std::lower_bound(times.begin(), times.end(), from));
    };
    const Time from = now - s.extra_span;
    return within(extras, from) + 1 <= s.extra_free + s.extra_ratio * within(taken, from + Duration(1));
  }
  double usual_work(std::size_t i) const {
    const double mean = classes[i].mean_told * classes[i].work_factor;
    if (mean == 0) return seconds(s.classes[i].aim) * s.classes[i].threads / 2;
    // where answers tell the work, the told estimate is put right by it; the bias is time, not work
    return s.tells_cost ? mean : mean * std::max(1.0, classes[i].bias);
  }
  // Danger: work sent to an engine just started topples it, and one that nobody dares to fill stays empty.
  // Fronts take turns: the time between two of one front's grows with the work it sent, and the first comes
  // at random, so that the fronts' sum over any window varies like independent arrivals do; room is left for
  // that.
  bool cold_room(const Engine& e, double work) const {
    if (!e.cold_since || s.tip_multiple <= 0 || now - *e.cold_since > s.cold) return true;
    return seconds(now - e.cold_turn) >= e.cold_wait * cold_interval(e, work);
  }
  double cold_interval(const Engine& e, double work) const {
    const double part = s.start_capacity + kColdGrowth * (warmth(e) - s.start_capacity);
    const double most = kColdShare * s.tip_multiple * part * e.cores * kFullUse * seconds(s.tip_after);
    if (work >= most) return 1e8;
    const double half =
        kColdSpread / 2 * std::sqrt(work * (1 - 1.0 / s.fronts));  // of mean + spread + work = most
    const double root = std::sqrt(half * half + most - work) - half;
    return seconds(s.tip_after) * work * s.fronts / (root * root);
  }
  bool may_refuse(const Query& q) const {
    const auto& c = cls(q);
    return !q.may_have_run || c.repeatable == Repeatable::always ||
           (c.repeatable == Repeatable::keyed && c.repeat_group == RepeatGroup::everywhere);
  }
  bool hopeless(const Query& q) const {  // no further attempt can ever be allowed
    const auto& c = cls(q);
    if (q.attempts.size() >= s.most_attempts) return true;
    if (!q.may_have_run || c.repeatable == Repeatable::always) return false;
    return c.repeatable == Repeatable::never || now - *q.may_run_since >= c.repeat_window - kTick;
  }

  // ---- the ordinary path

  // A front of many sees few outcomes an engine: what is missing is taken from the pool, by count and age.
  double recent(const Engine& e) const {
    return e.slow_count > 0 ? e.slow_count * std::exp(-seconds(now - e.slow_at) / kSlowFade) : 0;
  }
  double slowdown(const Engine& e) const {
    const double own = recent(e) / (recent(e) + kFewOutcomes);
    return std::exp(own * e.slow + (1 - own) * strain);
  }
  bool pressed(const Engine& e) const { return slowdown(e) > kPressure || e.full_backoff > kFullLeast; }

  bool has_room(const Query& q, const Engine& e) const {
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
  bool pool_room(const Query& q) const {
    if (mean_part >= cls(q).threads) return true;
    return threads == 0 || strain < std::log(kPressure) || threads + cls(q).threads <= pool_bound;
  }

  bool seen(const Engine& e) const { return probes && e.fresh > kFresh; }
  double full(const Query& q) const {
    const double all = std::max(kFullSeldom * (1 - share), kFullAll + (kFullAlone - kFullAll) * share);
    return all * (q.over_share ? kSpare : 1);
  }
  bool sees_others() const { return s.fronts > 1 && (s.may_message || pool_others > 0); }

  double grant(const Query& q, const Engine& e) const {
    const double want = q.told.memory_mb * classes[pos(q.told.cls)].memory_factor;
    return e.memory > 0 ? std::min(want, e.memory * s.most_grant) : want;
  }

  // Danger: engines fill unseen by a front of many, until they page or thrash. Where probes tell more, a
  // query waits a tick for a look at a few engines; more would make all fronts find the same idle one.
  void probe(Engine& e) {
    e.probed = now;
    ++probes_out;
    act(Probe{e.entry.engine});
  }
  bool look_around(Query& q) {
    if (!probes || now + 2 * kTick >= q.deadline) return false;  // who comes with little time left can't wait
    const double calm = 1 - pool_others / (kLookFrom * kFullAll);  // then a light query finds room without
    if (!q.looked && q.work < mean_work && draw() < calm) return false;
    if (q.looked && now - *q.looked < kLookAgain) return now < *q.looked + kTick && probes_out > 0;
    q.looked = now;
    std::vector<Engine*> open;
    for (auto& [name, e] : engines) {
      const bool due = !e.shunned || now >= e.trial_at;  // a probe is a trial that costs no query
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

  Choice choose(const Query& q) {
    std::size_t up = 0, healthy = 0;
    for (const auto& [name, e] : engines) {
      if (e.entry.state != EngineState::up || !permitted(cls(q), e.entry)) continue;
      ++up, healthy += !e.shunned;
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
      const bool trial = e.shunned && now >= e.trial_at && e.running.empty() && q.attempts.empty() &&
                         cls(q).repeatable == Repeatable::always;
      if (e.shunned && !trial && !doubt) continue;
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
      const double load =
          (e.threads + other_threads(e) + cls(q).threads * share + unseen) / (e.cores * e.warm);
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
  double limit(const Query& q, const Engine& e, bool under_pressure) const {
    if (!under_pressure) return seconds(q.deadline - now);
    // Danger: in a backlog every query leaves as late as its estimate allows, and half end just late, for
    // nothing. The usual error of such estimates is kept free; the engine's own: a slow one must not make all
    // refuse.
    if (q.over_share) return 0;
    const double margin = kMargin * e.error[pos(q.told.cls)] * unloaded(q);
    return seconds(std::min(q.aim, q.deadline) - now) - margin;
  }

  // Sends, refuses or goes on holding a query. False: it waits for room, so nothing behind it may pass.
  bool place(Query& q, bool may_go) {
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

  void send(Query& q, Engine& e, double est) {
    unhold(q);
    Attempt a;
    a.engine = e.entry.engine.name;
    a.sent = now;
    e.n[pos(q.told.cls)] += 1;
    e.threads += cls(q).threads;
    threads += cls(q).threads;
    e.running.insert(q.told.query);
    a.mix = e.n;
    a.unloaded = unloaded(q);
    a.estimate = est;
    a.memory = grant(q, e);
    e.granted += a.memory;
    if (s.grants || s.priorities)
      act(SetTerms{q.told.query, s.grants ? a.memory : 0, s.priorities ? priority(q) : 1});
    if (!q.attempts.empty()) extras.push_back(now);
    e.cold_turn = now;
    e.cold_wait = 1;
    if (e.shunned) e.trial_at = now + e.backoff;
    a.behind_load = behind_loads(q, e) > 0;
    if (cls(q).loads_tables) e.load_begins(q.told.tables, pos(q.told.query), now + from_seconds(est));
    tell(q, a, e, std::max(1e-3, est));
    q.attempts.push_back(std::move(a));
    ++q.out;
    act(Send{q.told.query, e.entry.engine, Duration{}});
  }

  std::uint32_t priority(const Query& q) const {
    const double d = density(q) / std::max(1e-9, mean_density);
    return cls(q).loads_tables || d >= 1 ? 3 : d >= 0.1 ? 2 : 1;
  }
  double density(const Query& q) const { return cls(q).worth / std::max(1e-3, q.work); }

  void hold(Query& q) {
    q.held = true;
    held.emplace(q.deadline, q.told.query);
  }
  void unhold(Query& q) {
    if (q.held) held.erase({q.deadline, q.told.query});
    q.held = false;
  }

  // The final answer, at once; what is over the limit tells when it is worth coming back.
  void give_up(Query& q, double over) {
    unhold(q);
    q.finished = true;
    if (may_refuse(q)) {
      act(Refuse{q.told.query, s.may_advise_wait
                                   ? std::min(s.most_wait_advice, from_seconds(std::max(0.05, over)))
                                   : Duration{}});
    } else {
      act(Fail{q.told.query});
    }
  }

  // Behind one that waits for room nothing goes, but on a sweep what no longer fits is refused all the same.
  void release(bool sweep) {
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
  void forget(QueryId id) {
    const auto it = queries.find(id);
    if (it == queries.end() || !it->second.finished || it->second.out > 0) return;
    const Query& q = it->second;
    if (cls(q).in_order && q.told.order_key) {
      auto& line = keys.at(*q.told.order_key).line;
      line.erase(std::find(line.begin(), line.end(), id));
    }
    queries.erase(it);
  }

  // ---- health: one signal an engine

  void good_sign(Engine& e, bool answered, Time sent) {
    e.heard = now;
    if (!answered) return;
    e.failing *= 1 - kFailStep;
    e.full_backoff = std::max(kFullLeast, e.full_backoff / 2);
    if (e.failing < kWell) e.backoff = kBackoffLeast;
    // Danger: an engine that fails most, not all, looks well by the odd answer. Only what was sent since it
    // was shunned brings it back, and then one more failure is enough.
    if (e.shunned && sent > e.shunned_since) {
      e.shunned = false;
      e.failing = kFailing * 0.9;
    }
  }
  void bad_sign(Engine& e, double weight) {
    e.failing += weight * (1 - e.failing);
    if (e.failing < kFailing) return;
    if (!e.shunned || now >= e.trial_at - e.backoff / 2) {
      e.trial_at = now + e.backoff;
      e.backoff = std::min(2 * e.backoff, kBackoffMost);
    }
    if (!e.shunned) e.shunned_since = now;
    e.shunned = true;
  }

  // Danger: an engine or the way to it goes dead without a word. Notes, and answers, of anything that runs
  // there would have come by now. Queries that may be called back are, and go elsewhere.
  void watch_silence() {
    if (now < resumed + 2 * kTick) return;
    for (auto& [name, e] : engines) {
      Time oldest = Time::max();
      for (const QueryId id : e.running) {
        const Attempt& a = queries.at(id).attempts.back();
        if (answer_lost(e, a) || overdue(queries.at(id), a)) cancel(queries.at(id));
        oldest = std::min(oldest,
                          a.sent + (s.note_every > Duration{} ? Duration{} : from_seconds(4 * a.estimate)));
      }
      if (oldest == Time::max()) continue;
      const Duration patience = std::max(kSilentLeast, from_seconds(kSilentNotes * seconds(s.note_every)));
      if (now - std::max(oldest, e.heard) < patience) continue;
      if (s.may_probe && now - e.probed >= patience) probe(e);  // a front of many hears little of any engine
      if (s.may_probe && now - e.probed < kProbeAnswer) continue;
      if (!e.shunned) e.failing = 1, bad_sign(e, 1);
      if (!s.may_cancel) continue;
      for (const QueryId id : e.running) cancel(queries.at(id));
    }
  }

  // Danger: the work is done, or given up, but its answer never comes, while the engine serves the rest.
  // Notes of what runs come on time; an attempt without them is called back and goes elsewhere. Hurts where
  // notes are late.
  bool answer_lost(const Engine& e, const Attempt& a) const {
    if (!s.may_cancel || s.note_every <= Duration{} || !extra_left()) return false;
    return e.heard > a.sent && seconds(now - std::max(a.sent, a.heard)) > kLostNotes * seconds(s.note_every);
  }

  // Danger: where no notes come, a bad plan, a hanging engine and a lost answer all look like an attempt far
  // past what its class takes. It is called back and goes elsewhere, each time after twice the patience; when
  // all are slow the usual grows with them. Hurts a query that is far dearer than told.
  bool overdue(const Query& q, const Attempt& a) const {
    if (!s.may_cancel || s.note_every > Duration{} || q.attempts.size() >= s.most_attempts || !extra_left())
      return false;
    const double patience = kOverdue * std::exp2(static_cast<double>(q.attempts.size()) - 1);
    const double expected = usual_time(q, a);
    return seconds(now - a.sent) > patience * expected && now + from_seconds(expected) < q.deadline;
  }
  double usual_time(const Query& q, const Attempt& a) const {
    return std::max(a.estimate, a.unloaded * std::exp(classes[pos(q.told.cls)].best + std::max(0.0, strain)));
  }

  // Only what may run again, or what nobody waits for any more, is called back.
  void cancel(Query& q) {
    Attempt& a = q.attempts.back();
    const auto& c = cls(q);
    const bool again = c.repeatable == Repeatable::always ||
                       (c.repeatable == Repeatable::keyed && now - a.sent < c.repeat_window / 2);
    if (!a.out || a.cancelling || q.streaming || !(again || q.finished)) return;
    a.cancelling = true;
    act(Cancel{q.told.query, AttemptNo{static_cast<std::uint32_t>(q.attempts.size() - 1)}});
  }

  // ---- events

  void on(const EngineList& list) {
    if (list.kind == ListKind::failed)
      return act(WakeAfter{std::max<Duration>(kFollowLeast, s.ask_within / kFollowParts), 1});
    if (list.kind != ListKind::changes) {
      std::set<std::string> named;
      for (const auto& entry : list.entries) named.insert(entry.engine.name);
      for (auto& [name, e] : engines) {
        if (!named.count(name)) e.entry.state = EngineState::gone;
      }
    }
    for (const auto& entry : list.entries) note_entry(entry);
    refresh_views();
  }
  void refresh_views() {
    // Danger: engines are replaced for good under new names, and what is kept of them grows. One that comes
    // back soon is still known.
    const auto forgotten = [&](const Engine& e) {
      return e.entry.state == EngineState::gone && e.running.empty() &&
             now - std::max(e.heard, kLongAgo) > kForget;
    };
    std::erase_if(by_hash, [&](const auto& known) { return forgotten(*known.second); });
    std::erase_if(engines, [&](const auto& known) { return forgotten(known.second); });
    cores = 0;
    double up = 0;
    for (auto& [name, e] : engines) {
      std::erase_if(e.loads, [&](const auto& l) { return now > l.second.second + kLoadOverdue; });
      e.sum_told(now, s.classes);
      e.warm = warmth(e);
      if (e.entry.state == EngineState::up) cores += e.cores * e.warm, ++up;
    }
    view_pool();
    mean_part = up > 0 ? cores * share / up : 0;
    if (pool_bound == 0) pool_bound = cores * share;
  }
  void note_entry(const EngineEntry& entry) {
    auto it = engines.find(entry.engine.name);
    const bool is_new = it == engines.end();
    if (is_new) it = engines.emplace(entry.engine.name, Engine(classes.size())).first;
    Engine& e = it->second;
    const bool restarted = !is_new && entry.started && entry.started != e.entry.started;
    e.entry = entry;
    if (is_new) {
      e.full_backoff = kFullLeast;
      e.backoff = kBackoffLeast;
      by_hash.emplace(short_hash(entry.engine.name), &e);
      const std::size_t kind = pos(entry.kind);
      if (kind < kinds.size()) {
        e.cores = s.kinds[kind].cores;
        e.memory = s.kinds[kind].memory_mb;
        e.weights = kinds[kind];
      }
      e.part = share;
      e.bound = std::max(1.0, e.cores * share);
    }
    if (entry.started && (is_new || restarted)) {
      if (!e.cold_since || *entry.started > *e.cold_since) {
        e.cold_since = *entry.started;
        e.cold_turn = now;
        e.cold_wait = s.fronts > 1 ? draw() : 0;
      }
    }
    if (restarted) e.shunned = false, e.failing = 0, e.backoff = kBackoffLeast, e.heard = now;
  }

  void on(const QueryArrived& told) {
    if (pos(told.cls) >= s.classes.size()) throw std::invalid_argument("invalid query: cls");
    if (!s.tenants.empty() && pos(told.tenant) >= s.tenants.size())
      throw std::invalid_argument("invalid query: tenant");
    if (queries.count(told.query)) return;
    Query q;
    q.told = told;
    q.deadline = now + told.time_left;
    const auto& c = cls(q);
    auto& state = classes[pos(told.cls)];
    q.work = told.work ? seconds(*told.work) * state.work_factor : usual_work(pos(told.cls));
    if (told.work)
      state.mean_told += std::max(kMeansStep, 1 / ++state.arrived) * (seconds(*told.work) - state.mean_told);
    q.aim = now + c.aim + from_seconds(c.aim_stretch * q.work / c.threads);
    // Danger: a client that comes again still counts from its first try; serving it late costs a fresh
    // query's place. What is left of its patience, where most have more on arrival, tells how long ago that
    // was; but less than the wanted time is a client in a hurry, in time whenever it is answered.
    if (std::chrono::abs(told.time_left - state.usual_left) <= kTick) {
      state.usual_votes = std::min(state.usual_votes + 2, kMostVotes);
    } else if (--state.usual_votes < 0) {
      state.usual_left = told.time_left, state.usual_votes = 2;
    }
    if (told.time_left + kTick < state.usual_left && (told.repeat || told.time_left > c.aim))
      q.aim -= std::max(Duration{}, c.deadline - told.time_left);
    q.over_share = over_share(told.tenant);
    mean_work += (mean_work == 0 ? 1 : kMeansStep) * (q.work - mean_work);
    if (!s.may_message || probes || q.work < told_from() * mean_work) {
      const double time = q.work / c.threads;
      light_time += kMeansStep * (time - light_time);
      light_threads += kMeansStep * (q.work - light_threads);
      light_memory += kMeansStep * (time * told.memory_mb - light_memory);
      mean_threads = light_threads / light_time;
      mean_memory = light_memory / light_time;
    }
    mean_density += (mean_density == 0 ? 1 : kDensityStep) * (density(q) - mean_density);
    if (dearness(q) > dearest && price >= dearest) price = dearness(q);
    dearest = std::max(dearest, dearness(q));
    taken.push_back(now);
    if (c.in_order && told.order_key) keys[*told.order_key].line.push_back(told.query);
    hold(queries.emplace(told.query, std::move(q)).first->second);
  }

  // Danger: one tenant's crowd takes the engines from all, for traffic that is worth little. A bucket a
  // tenant, filled at this front's part of its quota; what finds it empty is refused under pressure, and only
  // then.
  bool over_share(TenantId tenant) {
    if (pos(tenant) >= buckets.size() || s.tenants[pos(tenant)].quota_per_s <= 0 || s.over_share_worth >= 1)
      return false;
    auto& [left, at] = buckets[pos(tenant)];
    const double rate = s.tenants[pos(tenant)].quota_per_s * std::max(share, 1.0 / s.fronts) * kQuotaSlack;
    left = std::min(left + rate * seconds(now - at), rate * kQuotaBurst);
    at = now;
    if (left < 1) return true;
    left -= 1;
    return false;
  }

  void on(const AttemptEnded& end) {
    const auto it = queries.find(end.query);
    const auto where = engines.find(end.engine.name);
    if (it == queries.end() || pos(end.attempt) >= it->second.attempts.size()) return;
    Query& q = it->second;
    Attempt& a = q.attempts[pos(end.attempt)];
    if (!a.out || where == engines.end()) return;
    Engine& e = where->second;
    const Outcome o = end.outcome;
    a.out = false;
    --q.out;
    read_report(e, end.report);
    e.n[pos(q.told.cls)] -= 1;
    e.threads -= cls(q).threads;
    threads -= cls(q).threads;
    e.granted -= a.memory;
    e.running.erase(end.query);
    if (o != Outcome::timed_out || s.may_cancel) {  // else it runs on
      if (cls(q).loads_tables) e.load_ends(pos(end.query));
      tell(q, a, e, 0);
    }
    if (o == Outcome::served) {
      good_sign(e, true, a.sent);
      if (!q.streaming && !a.behind_load && now >= resumed + kTick) learn(q, a, e, seconds(end.took));
      auto& c = classes[pos(q.told.cls)];
      // means of logarithms: bad plans take many times the told work, and told work scatters
      if (end.work && *end.work > Duration{} && q.told.work)
        c.work_factor *= std::pow(seconds(*end.work) / (seconds(*q.told.work) * c.work_factor),
                                  std::max(kBiasStep, 1 / (++c.billed + kBillsPresumed)));
      if (!a.spilled) c.memory_factor = std::max(1.0, c.memory_factor * 0.998);
    } else if (o == Outcome::shed) {
      strain += kStrainStep * (kStrainMost - strain);
      e.full_until = now + e.full_backoff;
      e.full_backoff = std::min(2 * e.full_backoff, kBackoffMost);
      e.bound = std::max(1.0, e.bound * kCut);
      e.heard = now;
    } else if (o == Outcome::unreachable || o == Outcome::reset || o == Outcome::error) {
      bad_sign(e, o == Outcome::unreachable ? kRefusedStep : kFailStep);
      if (o == Outcome::error) e.heard = now;
    } else if (o == Outcome::timed_out && e.heard < a.sent) {
      bad_sign(e, kFailStep);  // nothing at all came from it meanwhile; else the answer was lost, or is late
    }
    const bool may_run = o != Outcome::shed && o != Outcome::unreachable && o != Outcome::never_sent;
    if (may_run) {
      q.may_have_run = true;
      if (!q.may_run_since) q.may_run_since = a.sent, q.ran_on = a.engine;
      if (cls(q).in_order && q.told.order_key && o != Outcome::served && o != Outcome::error) {
        auto& key = keys.at(*q.told.order_key);
        key.pause_until = std::max(key.pause_until, now + s.order_pause);
      }
    }
    if (end.finished) q.finished = true, unhold(q);
    if (!q.finished && q.out == 0) {
      if (q.streaming || hopeless(q) || now + kTick >= q.deadline)
        give_up(q, 0);
      else
        hold(q);
    }
    forget(end.query);
  }

  void see_others(Engine& e, double inflight, double busy) {  // queries, and threads that stand for load
    const double unknown = inflight - static_cast<double>(e.running.size() + e.told.size());
    e.others = std::max({0.0, unknown * mean_threads, busy - e.threads - e.told_threads});
    e.others_at = now;
    e.fresh = 1;
    if (pool_others == 0) pool_others = kPoolPrior * (1 - share);
  }
  // Reports tell queries, busy cores, busy disks, the line for memory or memory granted; each is taken as
  // running threads, the most that any of them stands for.
  void read_report(Engine& e, const std::vector<double>& report) {
    double inflight = -1, busy = -1, line = 0;
    for (std::size_t k = 0; k < report.size() && k < s.report_fields.size(); ++k) {
      const ReportField field = s.report_fields[k];
      if (!(report[k] >= 0)) continue;
      if (field == ReportField::inflight) inflight = report[k];
      if (field == ReportField::queue) line = report[k];
      if (field == ReportField::cpu || field == ReportField::disks) busy = std::max(busy, report[k]);
      if (field == ReportField::memory) {
        e.others_memory = std::max(0.0, report[k] * e.memory - e.granted - e.told_memory);
        if (pool_memory < 0) pool_memory = kPriorMemory * (1 - share);
      }
    }
    if (inflight < 0 && busy < 0) return;
    e.reported = std::max(0.0, inflight);
    see_others(e, e.reported + line, kFullAll * e.cores * busy + line * mean_threads);
    if (inflight < 1) return;
    // Danger: fronts carry unequal loads; an even share starves the large ones. Sums, as counts are small.
    own_seen += kShareStep * (static_cast<double>(e.running.size()) - own_seen);
    all_seen += kShareStep * (inflight - all_seen);
    share = std::clamp(own_seen / all_seen, 1.0 / s.fronts, 1.0);
  }

  void on(const AttemptNote& note) {
    const auto it = queries.find(note.query);
    const auto where = engines.find(note.engine.name);
    if (it == queries.end() || where == engines.end() || pos(note.attempt) >= it->second.attempts.size())
      return;
    Query& q = it->second;
    Attempt& a = q.attempts[pos(note.attempt)];
    good_sign(where->second, false, a.sent);
    a.heard = now;
    if (!a.out || q.finished) return;
    if (note.note == Note::spills && q.told.memory_mb > 0 && !a.spilled) {
      a.spilled = true;
      auto& c = classes[pos(q.told.cls)];
      if (a.memory > 0) c.memory_factor = std::min(4.0, c.memory_factor * 1.02);
    }
    if (note.note == Note::waits_for_load && !a.behind_load) {  // a load that nobody told of
      a.behind_load = true;
      where->second.load_begins(q.told.tables, kUnknownLoad, now + kUnknownRest);
    }
    if (note.note == Note::progress && note.value > 0) judge_progress(q, a, note.value);
  }

  // Danger: an attempt drew a bad plan and would hold its engine for many times the usual. At the pace told,
  // what is left must be dearer than a fresh attempt, and the whole far dearer than predicted: further than
  // the class scatters anyway where no work is told. There, one as slow again is the query's own work.
  void judge_progress(Query& q, const Attempt& a, double done) {
    if (!s.may_cancel || q.attempts.size() >= s.most_attempts || !extra_left()) return;
    const double elapsed = seconds(now - a.sent);
    const double whole = elapsed / done;
    const double expected = usual_time(q, a);
    double far = kBadPlan;
    if (!q.told.work) {
      if (whole > q.whole / 2) return;
      far = std::max(far, std::exp(kScatter * classes[pos(q.told.cls)].spread));
    }
    if (whole < far * expected || whole - elapsed < far / 2 * expected) return;
    q.whole = whole;
    cancel(q);
  }

  void on(const AnswerStarted& start) {
    if (const auto it = queries.find(start.query); it != queries.end()) it->second.streaming = true;
    if (const auto e = engines.find(start.engine.name); e != engines.end()) good_sign(e->second, false, now);
  }
  void on(const ClientLeft& left) {
    const auto it = queries.find(left.query);
    if (it == queries.end()) return;
    unhold(it->second);
    it->second.finished = true;
    if (it->second.out > 0 && s.may_cancel) cancel(it->second);
    forget(left.query);
  }
  void on(const ProbeEnded& probe) {
    const auto it = engines.find(probe.engine.name);
    probes_out = std::max(0, probes_out - 1);
    if (it == engines.end()) return;
    if (probe.outcome != Outcome::served) return bad_sign(it->second, kRefusedStep);
    good_sign(it->second, it->second.shunned, now);
    read_report(it->second, probe.report);
  }
  void on(const PeerMessage& message) {
    const auto byte = [&](std::size_t i) { return static_cast<std::uint8_t>(message.payload[i]); };
    const std::size_t size = message.payload.size();
    if (size != 4 && size != 5 && size != 7) return;
    const auto it = by_hash.find(static_cast<std::uint16_t>(byte(0) | byte(1) << 8));
    if (it == by_hash.end() || byte(2) > classes.size() || (size == 4) != (byte(2) == 0)) return;
    Engine& e = *it->second;
    const std::uint64_t who = (pos(message.from) + 1) << 40;
    if (size > 4) {
      const double rest = decode(byte(4)) / 10;
      e.told.push_back(
          {who, static_cast<std::uint8_t>(byte(2) - 1), byte(3), now + from_seconds(kToldLong * rest)});
      if (size == 7)
        e.load_begins(TableGroupId{byte(5) | std::uint64_t{byte(6)} << 8}, who, now + from_seconds(rest));
    } else {
      const auto same =
          std::find_if(e.told.begin(), e.told.end(), [&](const Told& o) { return o.who == who; });
      if (same != e.told.end()) e.told.erase(same);
      e.load_ends(who);
      if (byte(3) < 255) see_others(e, byte(3), 0);
    }
    e.sum_told(now, s.classes);
  }
  void on(const Woken& woken) {
    if (woken.token == 1) return act(FollowList{});
    act(WakeAfter{kTick, 0});
    while (!taken.empty() && taken.front() < now - s.extra_span) taken.pop_front();
    while (!extras.empty() && extras.front() < now - s.extra_span) extras.pop_front();
    refresh_views();
    watch_silence();
    set_price();
  }

  // Danger: more work is asked for than the engines can do, for long (a mix turned heavy, engines lost), and
  // no bound on own threads tells which to refuse. A price on work for worth, raised while all engines
  // together answer slower than the aim, refuses the dearest first; it starts at the dearest seen, refusing
  // none. Danger: a front of many hears little, and its strain is old news while the price goes on falling:
  // all fronts then refuse for what a few answers said seconds ago. So it falls only as far as outcomes came.
  void set_price() {
    const double dt = priced == Time::min() ? 0 : std::min(1.0, seconds(now - priced));
    priced = now;
    dearest -= kDearestFade * dt;
    strain *= std::exp(-dt / kStrainFade);
    const double over = strain - kStrainAim;
    const double told = over > 0 ? std::min(dt, heard) : dt;
    heard = over > 0 ? heard - told : 0;
    price = std::clamp(price - kPriceRate * over * told, dearest - kPriceLeast, dearest);
  }
  double dearness(const Query& q) const {
    return -std::log(density(q) * (q.over_share ? std::max(0.01, s.over_share_worth) : 1));
  }

  void handle(Time at, const Event& event, std::vector<Action>& actions) {
    now = std::max(now, at);
    out = &actions;
    // Danger: this front stood still and all comes at once: times hold its own stall, sends would go before
    // the list that forbids them. It judges and sends nothing until a tick later.
    if (started && now - last_event > kGap) resumed = now;
    last_event = now;
    if (!started) {
      started = true;
      act(WakeAfter{kTick, 0});
      if (s.list_source == ListSource::on_request) act(FollowList{});
    }
    std::visit([&](const auto& e) { on(e); }, event);
    // news that frees no room moves no query: what is held is looked at again on the next tick
    if (std::holds_alternative<AttemptNote>(event) || std::holds_alternative<PeerMessage>(event)) return;
    release(std::holds_alternative<Woken>(event));
  }
};

AdmissionController::AdmissionController(const Settings& settings, std::uint64_t seed, Time now)
    : impl_(std::make_unique<Impl>(settings, seed, now)) {}
AdmissionController::~AdmissionController() = default;
AdmissionController::AdmissionController(AdmissionController&&) noexcept = default;
AdmissionController& AdmissionController::operator=(AdmissionController&&) noexcept = default;

void AdmissionController::handle(Time now, const Event& event, std::vector<Action>& actions) {
  impl_->handle(now, event, actions);
}

std::size_t AdmissionController::avoided() const {
  return static_cast<std::size_t>(
      std::count_if(impl_->engines.begin(), impl_->engines.end(), [&](const auto& known) {
        const Engine& e = known.second;
        return e.entry.state != EngineState::gone &&
               (e.entry.state != EngineState::up || e.shunned || impl_->now < e.full_until);
      }));
}

}  // namespace lynxstand
