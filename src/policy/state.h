// What the decisions in policy.cpp keep: plain records, units and codes. Nothing is decided or tuned here.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "yokestream/policy/admission_controller.h"

namespace yokestream::policy {

void check(const Settings& settings);  // throws std::invalid_argument naming the field that makes no sense
bool fits(const LearnedState& learnt,
          const Settings& settings);  // sizes as the settings', numbers that are some

inline InterferenceWeights zero_weights(std::size_t classes) {
  return InterferenceWeights(classes, std::vector<double>(classes, 0.0));
}
// In units of the newcomer's own unloaded time: Est = C x (bias_i + sum c(i,j) n(j)).
inline double interference(const InterferenceWeights& c, std::size_t i, const std::vector<double>& n) {
  double sum = 0;
  for (std::size_t j = 0; j < n.size(); ++j) sum += c[i][j] * n[j];
  return sum;
}
inline double norm(const std::vector<double>& n) {
  double sum = 1;
  for (const double x : n) sum += x * x;
  return sum;
}
// One step of normalised LMS, weights kept non-negative; `error` times the step.
inline void learn_weights(InterferenceWeights& c, std::size_t i, const std::vector<double>& n, double error) {
  const double all = norm(n);
  for (std::size_t j = 0; j < n.size(); ++j) c[i][j] = std::max(0.0, c[i][j] + error * n[j] / all);
}
inline bool tells_what_runs(const Settings& s) {
  return std::any_of(s.load_report_fields.begin(), s.load_report_fields.end(), [](LoadReportField f) {
    return f == LoadReportField::inflight || f == LoadReportField::cpu || f == LoadReportField::disks;
  });
}
// Rule: the zones and kinds that a class is bound to, if any, and the engines that the query is.
inline bool permitted(const QueryArrived& q, const ClassSettings& c, const EngineEntry& e) {
  const auto among = [](const auto& list, auto x) {
    return list.empty() || std::find(list.begin(), list.end(), x) != list.end();
  };
  const bool eligible = !q.eligible_engines || (e.slot < kMaxEngineSlots && (*q.eligible_engines)[e.slot]);
  return eligible && among(c.allowed_zones, e.zone) && among(c.allowed_kinds, e.kind);
}
inline TableGroupId short_tables(TableGroupId t) {
  return TableGroupId{static_cast<std::uint64_t>(t) & 0xffff};
}
inline double next_uniform(std::uint64_t& state) {  // splitmix64, in [0,1)
  std::uint64_t z = (state += 0x9e3779b97f4a7c15ull);
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ull;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebull;
  return static_cast<double>((z ^ (z >> 31)) >> 11) * 0x1.0p-53;
}

constexpr Time kLongAgo = Time(Duration::min() / 2);  // a time may be taken from it
inline double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }
inline Duration from_seconds(double s) {
  return Duration(static_cast<Duration::rep>(std::min(s, 1e8) * 1e9));
}
template <class Id>
std::size_t pos(Id id) {
  return static_cast<std::size_t>(id);
}

struct ClassState : LearnedClass {
  Duration usual_left{};  // time left that most have on arrival, by majority vote
  int usual_votes = 0;
};

struct Attempt {
  std::string engine;
  Time sent{}, heard = Time::min();
  bool out = true;
  bool cancelling = false;
  std::vector<double> mix;  // own running queries per class that it met, itself counted in
  double unloaded = 0;      // seconds
  double estimate = 0;      // seconds
  double memory = 0;        // MB granted
  bool spilled = false;
  bool told = false;         // to the peers
  bool behind_load = false;  // stood, or will have stood, behind a load on its tables
};

struct Query {
  QueryArrived told;
  Time deadline{}, aim{};
  double work = 0;             // seconds of one thread
  bool waited = false;         // for room
  bool over_share = false;     // beyond its tenant's quota
  double whole = 1e9;          // seconds that an attempt called back for its plan would have taken
  std::optional<Time> looked;  // when engines were probed for it
  bool held = false, finished = false, streaming = false;
  std::vector<Attempt> attempts;
  std::optional<Time> may_run_since;  // keyed: first send that may have run
  std::string ran_on;                 // keyed: its engine
  std::size_t out = 0;                // attempts without outcome
  bool may_have_run = false;
};

// What a peer told that it runs. Every byte is paid for by every receiver: engine and tables go by 16 bits,
// memory and time as logarithms, a few percent off.
struct Told {
  std::uint64_t who = 0;
  std::uint8_t cls = 0, memory = 0;
  Time until{};
};
constexpr std::uint64_t kUnknownLoad = ~0ull;  // held by a query that nobody told of
constexpr double kCodeStep = 20;               // codes a factor of e
inline std::uint8_t code(double x) {
  return static_cast<std::uint8_t>(std::clamp(std::round(kCodeStep * std::log1p(x)), 0.0, 255.0));
}
inline double decode(std::uint8_t c) { return std::expm1(c / kCodeStep); }
inline std::uint16_t short_hash(const std::string& name) {  // FNV-1a, folded
  std::uint32_t h = 2166136261u;
  for (const char c : name) h = (h ^ static_cast<std::uint8_t>(c)) * 16777619u;
  return static_cast<std::uint16_t>(h ^ h >> 16);
}

inline std::string told_end(std::uint16_t where, double reported) {
  return {static_cast<char>(where & 255), static_cast<char>(where >> 8), 0,
          static_cast<char>(static_cast<std::uint8_t>(reported))};
}
inline std::string told_begin(std::uint16_t where, std::size_t cls, double memory, double rest,
                              TableGroupId tables, bool held) {
  std::string payload{static_cast<char>(where & 255), static_cast<char>(where >> 8)};
  payload += static_cast<char>(1 + cls);
  payload += static_cast<char>(code(memory));
  payload += static_cast<char>(code(rest * 10));
  if (held) payload += static_cast<char>(pos(tables) & 255);
  if (held) payload += static_cast<char>(pos(tables) >> 8 & 255);
  return payload;
}

struct Engine : LearnedEngine {
  explicit Engine(std::size_t classes)
      : LearnedEngine{zero_weights(classes), std::vector<double>(classes, 1.0)}, n(classes, 0.0) {}
  EngineEntry entry;
  double cores = 1, memory = 0;
  std::vector<double> n;  // own running queries per class
  double threads = 0, granted = 0;
  std::set<QueryId> running;
  double part = 1;   // this front's part of it
  double bound = 1;  // threads this front may run here under pressure
  Time slow_at = Time::min();
  double reported = 0;  // queries that it held by its last report
  double others = 0;    // threads that run there by its last report, neither ours nor told of
  double others_memory = 0;
  double fresh = 0;  // weight of that report against the pool's mean
  double warm = 1;   // part of its full work that it can do
  Time others_at = kLongAgo, probed = kLongAgo;
  std::vector<Told> told;  // what peers run there, and its sums
  double told_threads = 0, told_memory = 0;
  Time full_until = Time::min();
  Duration full_backoff{};
  std::optional<Time> cold_since;
  Time cold_turn = Time::min();  // this front's last turn to send to it while cold
  double cold_wait = 1;          // share of the time between two turns to wait: the first comes at random
  Time trial_at = Time::min(), shunned_since = Time::min();
  Duration backoff{};
  std::multimap<TableGroupId, std::pair<std::uint64_t, Time>> loads;  // by tables: who holds them, until when
  Time heard = Time::min();

  void sum_told(Time now, const std::vector<ClassSettings>& classes) {
    std::erase_if(told, [&](const Told& t) { return now > t.until; });
    told_threads = told_memory = 0;
    for (const Told& t : told) {
      told_threads += classes[t.cls].threads;
      told_memory += decode(t.memory);
    }
  }
  void load_begins(TableGroupId tables, std::uint64_t who, Time until) {
    loads.emplace(short_tables(tables), std::pair(who, until));
  }
  void load_ends(std::uint64_t who) {
    const auto it =
        std::find_if(loads.begin(), loads.end(), [&](const auto& l) { return l.second.first == who; });
    if (it != loads.end()) loads.erase(it);
  }
};

struct Choice {
  Engine* engine = nullptr;    // best engine that may be sent to now
  double estimate = 0;         // seconds
  bool anywhere = false;       // some engine could take it but for room
  double least = 1e9;          // lowest estimate, room or not
  Engine* quickest = nullptr;  // that of `least`
  double room = 0;             // threads that all engines have left, by what is seen of all fronts
};

struct KeyLine {  // queries of one order key
  std::deque<QueryId> line;
  Time pause_until = Time::min();
};

}  // namespace yokestream::policy
