#include "scheduler/scheduler.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/seconds.h"

namespace yokestream::scheduler {
namespace {

constexpr Duration kLook = std::chrono::milliseconds(100);    // while somebody waits, accounts fill
constexpr Duration kWindow = std::chrono::milliseconds(500);  // over which the pace is measured
constexpr double kPaceWeight = 0.02;                          // of a window
constexpr double kNearer = 0.5;                               // times the usual time from arrival to due
constexpr double kAheadWeight = 0.02;                         // of a request
constexpr int kKnownWindows = 4;                              // what a pace counts for that was taken over
constexpr double kOff = 1.6;      // a window's rate over the pace, or under it, that says that it changed
constexpr int kOffWindows = 6;    // so many in a row
constexpr double kInflow = 1.5;   // seconds that arrivals are smoothed over
constexpr double kReserve = 0.1;  // of the bound, free of borrowed work
constexpr Duration kLeastHint = std::chrono::milliseconds(50);
constexpr double kHintSpread = 0.25;   // so that not all come back at one moment
constexpr double kSunkTakes = 0.4;     // of its room, by a query that has sunk
constexpr double kLeastPace = 0.02;    // of the cores
constexpr double kMostForecast = 600;  // seconds

// The wait that came is known a wait later: corrected at once and in full, forecasts swing. So small errors
// are left alone, and of a larger one only what is over that is taken off, by a median of many requests.
constexpr double kLeftAlone = 0.3;  // of the logarithm
double correction(double came_over_forecast) {
  const double error = std::log(came_over_forecast);
  return std::exp(std::copysign(std::max(0.0, std::abs(error) - kLeftAlone), error));
}

std::size_t size_of(double forecast) { return forecast < 0.25 ? 0 : forecast < 1 ? 1 : 2; }

// What waits is due between the longest wait ago and three ages from now.
Duration reach(const Settings& settings) { return settings.most_wait + kLevels * settings.age; }

}  // namespace

bool quote_right(double quoted, double came) {
  return (quoted < kShort && came < kShort) || std::abs(quoted - came) <= kRight * came;
}

Scheduler::Scheduler(Time now, Settings settings, std::size_t classes)
    : settings_(std::move(settings)),
      classes_(classes),
      capacity_(classes, settings_.threads_per_core),
      cost_(std::max<std::size_t>(1, settings_.team_of.size()), classes),
      waiting_(settings_.teams.size(), settings_.waiting, reach(settings_)),
      service_(settings_.teams.size(), classes) {
  lay_out(now);
}

std::size_t Scheduler::bytes(const Settings& settings) {
  return settings.waiting * (Waiting::kEntryBytes + sizeof(Ref)) +
         settings.teams.size() * (WorkByDue::kSlots * sizeof(double) + sizeof(Team));
}

void Scheduler::lay_out(Time now) {
  accounts_.configure(now, settings_);
  order_.teams(now, settings_.teams.size());
  bands_.configure(settings_.sink, settings_.nice_per_s);
  teams_.clear();
  for (std::size_t i = 0; i < settings_.teams.size(); ++i) {
    Team team;
    team.inflow.assign(classes_, 0.0);
    team.surcharge.resize(classes_);
    team.span.assign(classes_, 0.0);
    for (std::size_t cls = 0; cls < classes_; ++cls)
      team.ahead.push_back(seconds_of((kLevels - 1 - level(i, cls)) * settings_.age));
    team.inflow_at.assign(classes_, now);
    teams_.push_back(std::move(team));
  }
  cores(now, cores_);
}

void Scheduler::configure(Time now, const Settings& settings) {
  Snapshot kept = snapshot(now);
  std::unordered_map<QueryId, Waits> waits = std::move(waits_);
  for (const Entry& entry : waiting_.all()) waiting_.remove(waits.at(entry.query).ref);
  waits_.clear();
  const std::size_t sizes = settings_.waiting;
  const auto& teams = settings_.teams;
  const bool same = std::equal(teams.begin(), teams.end(), settings.teams.begin(), settings.teams.end(),
                               [](const auto& a, const auto& b) { return a.name == b.name; });
  settings_ = settings;
  settings_.waiting = sizes;  // made at the start
  std::vector<Team> before = std::move(teams_);
  lay_out(now);
  waiting_.teams(settings_.teams.size(), reach(settings_));
  if (same)
    teams_ = std::move(before);
  else
    service_ = ServiceTimes(settings_.teams.size(), classes_);
  for (auto& [query, in] : in_) in.team = team_of(in.member);
  restore(now, kept);
  for (auto& [query, w] : waits_) {
    if (const auto it = waits.find(query); it != waits.end())
      w.wanted = it->second.wanted, w.load = it->second.load;
  }
}

void Scheduler::cores(Time now, double cores) {
  if (cores > 0 && cores_ > 0 && cores != cores_)
    pace_ *= cores / cores_, pace_windows_ = std::min(pace_windows_, kKnownWindows);
  if (cores > 0) cores_ = cores;
  capacity_.set_cores(cores);
  if (pace_windows_ == 0) pace_ = capacity_.drain_rate();
  accounts_.capacity(now, pace_);
  order_.capacity(now, settings_.rescue * pace_);
}

std::size_t Scheduler::team_of(std::size_t member) const {
  const std::size_t team = member < settings_.team_of.size() ? settings_.team_of[member] : 0;
  return team < settings_.teams.size() ? team : 0;
}

unsigned Scheduler::level(std::size_t team, std::size_t cls) const {
  const auto& level = settings_.teams[team].level;
  return cls < level.size() ? level[cls] : 1;
}

double Scheduler::inflow(Time now, std::size_t team, std::size_t cls) const {
  return teams_[team].inflow[cls] * std::exp(-seconds_of(now - teams_[team].inflow_at[cls]) / kInflow);
}

void Scheduler::note_inflow(Time now, std::size_t team, std::size_t cls, double cost) {
  const double smoothed = inflow(now, team, cls) + cost / kInflow;
  teams_[team].inflow[cls] = smoothed;
  teams_[team].inflow_at[cls] = now;
}

void Scheduler::fill_tanks(Time now) {
  tanks_.clear();
  for (std::size_t i = 0; i < teams_.size(); ++i) {
    Tank tank;
    tank.work = waiting_.work(i);
    for (std::size_t cls = 0; cls < classes_; ++cls) tank.inflow += inflow(now, i, cls);
    tank.inflow = std::min(tank.inflow, pace_);  // more is not let in
    tank.weight = accounts_.weight(i);
    tank.budget = accounts_.budget(now, i);
    tank.fills = accounts_.rate(i);
    tank.floor = settings_.teams[i].floor * pace_;
    if (settings_.teams[i].ceiling < 1) tank.ceiling = accounts_.ceiling(i);
    tanks_.push_back(tank);
  }
}

// Seconds until one of the team that is due then goes. Who arrives meanwhile and is due earlier goes before
// it: that much is added to what is ahead, which depends on the wait; two rounds settle it.
double Scheduler::forecast(Time now, std::size_t team, Time due) {
  const double ahead = waiting_.before(team, due);
  fill_tanks(now);
  double wait = 0;
  for (int round = 0; round < 2; ++round) {
    double more = 0;
    for (std::size_t cls = 0; cls < classes_; ++cls)
      more += inflow(now, team, cls) * std::clamp(seconds_of(due - now) - teams_[team].ahead[cls], 0.0, wait);
    walked_ = tanks_;
    wait = drained_after(walked_, team, ahead + more, pace_, kMostForecast);
    if (round == 0 && wait == 0) break;
  }
  // Once overdue it has the team's turns of what is kept for the overdue.
  const double rescue = settings_.rescue * pace_ / static_cast<double>(1 + overdue(now, team));
  if (rescue <= 0) return wait;
  return std::min(wait, seconds_of(due - now + settings_.age) + ahead / rescue);
}

// Teams other than this one whose first request is overdue.
std::size_t Scheduler::overdue(Time now, std::size_t but) const {
  std::size_t count = 0;
  for (std::size_t i = 0; i < teams_.size(); ++i) {
    const auto head = waiting_.head(i);
    count += i != but && head && now - waiting_.at(*head).due > settings_.age;
  }
  return count;
}

bool Scheduler::room(Time now, std::size_t team) {
  if (threads_in_ == 0) return true;
  const bool borrows = accounts_.standing(now, team) == Standing::borrowing;
  return threads_in_ < capacity_.concurrency_limit() * (borrows ? 1 - kReserve : 1);
}

Scheduler::Expected Scheduler::expect(Time now, const Arrival& arrival, bool room) {
  Expected e;
  e.team = team_of(arrival.member);
  e.typical = cost_.estimate_s(arrival.member, arrival.cls, arrival.estimated_work_s);
  e.cost = e.typical * teams_[e.team].surcharge[arrival.cls].factor();
  const double unloaded = e.typical / std::max(1.0, arrival.threads);
  const double most = service_.stretch(e.team, arrival.cls, 0.9);
  const double usual = service_.stretch(e.team, arrival.cls, 0.5);
  // What can wait has no wanted time, only its deadline.
  const bool can_wait = level(e.team, arrival.cls) == 0;
  const Time wanted = can_wait ? Time::max() : arrival.wanted;
  const Duration needs = from_seconds(unloaded * usual);
  // Requests of a class keep their order, but for one that is much nearer to its wanted time than usual: else
  // whoever is due a little earlier is quoted a little less, is let in for that, and pushes back the others.
  e.own = seconds_of(due_time(now, level(e.team, arrival.cls), settings_.age, wanted, needs) - now);
  const double of_class = teams_[e.team].ahead[arrival.cls];
  e.span = can_wait ? 0 : seconds_of(wanted - now);
  const bool nearer = !can_wait && e.span < kNearer * teams_[e.team].span[arrival.cls];
  e.due = now + from_seconds(nearer ? std::min(e.own, of_class) : of_class);
  e.until = std::min(now + settings_.most_wait, arrival.deadline - needs);
  const Duration in_time = std::max(Duration{}, wanted - needs - now);
  e.allowed = std::max(Duration{}, e.until - now);
  if (!can_wait) e.allowed = std::min(e.allowed, from_seconds(settings_.patience * seconds_of(in_time)));
  if (!room) {
    e.raw = forecast(now, e.team, e.due);
    const Distribution& errors = teams_[e.team].errors[size_of(e.raw)];
    const double median = e.raw * correction(errors.quantile(0.5, 1)),
                 late = e.raw * errors.quantile(0.9, 1.25);
    e.quote.wait = from_seconds(median);
    e.quote.wait_most = from_seconds(std::max(median, late));
  }
  e.quote.answer = e.quote.wait + from_seconds(unloaded * usual);
  e.quote.answer_most = e.quote.wait_most + from_seconds(unloaded * std::max(usual, most));
  return e;
}

Quote Scheduler::quote(Time now, const Arrival& arrival) {
  const std::size_t team = team_of(arrival.member);
  return expect(now, arrival, waiting_.count(team) == 0 && room(now, team)).quote;
}

double Scheduler::typical(const In& in) const { return cost_.estimate_s(in.member, in.cls, in.told); }

void Scheduler::enter(Time now, QueryId query, const In& in, bool overdue) {
  threads_in_ += in.threads;
  if (waiting_.size() > 0) window_gone_ += in.cost;
  In& stored = in_[query] = in;
  stored.held = in.threads;
  stored.typical = typical(in);
  accounts_.charge(now, in.team, in.cost);
  order_.went(now, {in.team, overdue}, in.cost, accounts_);
}

Verdict Scheduler::turn_away(const Expected& expected, Duration allowed, QueryId query) const {
  const double over = seconds_of(expected.quote.wait) - 0.5 * seconds_of(allowed);
  const double spread =
      static_cast<double>((static_cast<std::uint64_t>(query) * 0x9e3779b97f4a7c15ull) >> 11) * 0x1.0p-53;
  const Duration hint = from_seconds(std::max(0.0, over) * (1 + kHintSpread * spread));
  return {Ruling::turn_away, std::clamp(hint, kLeastHint, std::max(kLeastHint, settings_.most_hint)), 0,
          expected.quote};
}

Verdict Scheduler::arrive(Time now, const Arrival& arrival) {
  ++figures_.arrived;
  const std::size_t team = team_of(arrival.member);
  const bool at_once =
      waiting_.count(team) == 0 && accounts_.standing(now, team) != Standing::barred && room(now, team);
  const Expected e = expect(now, arrival, at_once);
  double& ahead = teams_[team].ahead[arrival.cls];
  ahead += kAheadWeight * (e.own - ahead);
  double& span = teams_[team].span[arrival.cls];
  span += (span == 0 ? 1 : kAheadWeight) * (e.span - span);
  if (at_once) {
    note_inflow(now, team, arrival.cls, e.cost);
    In in{team,           arrival.member, arrival.cls, arrival.estimated_work_s, e.cost, arrival.threads, now,
          arrival.wanted, false,          arrival.load};
    in.borrowed = accounts_.standing(now, team) == Standing::borrowing;
    enter(now, arrival.query, in);
    ++figures_.passed_at_once, ++figures_.quotes, ++figures_.quotes_right;
    return {Ruling::pass, {}, e.typical, e.quote};
  }
  if (e.until <= now || e.quote.wait > e.allowed || waiting_.full()) {
    ++figures_.turned_away;
    return turn_away(e, e.allowed, arrival.query);
  }
  note_inflow(now, team, arrival.cls, e.cost);
  if (waiting_.size() == 0) window_ = now, window_gone_ = 0;
  Entry entry{arrival.query,
              static_cast<std::uint32_t>(team),
              static_cast<std::uint32_t>(arrival.cls),
              static_cast<std::uint32_t>(arrival.member),
              arrival.estimated_work_s,
              e.cost,
              arrival.threads,
              now,
              e.due,
              e.until,
              seconds_of(e.quote.wait),
              e.raw};
  waits_[arrival.query] = {waiting_.push(entry), arrival.wanted, arrival.load};
  ++figures_.waited;
  return {Ruling::wait, {}, e.typical, e.quote};
}

// What goes while somebody waits all the time says what engines take; else only what was asked for. A mean
// over many windows, as quotes are only as good as it is steady; but of few where it is new, where engines
// came or went, and where several windows in a row were off to one side.
void Scheduler::learn_pace(Time now) {
  if (now - window_ < kWindow) return;
  const double rate = window_gone_ / seconds_of(now - window_);
  const double off = rate / pace_;
  const int side = off > kOff ? 1 : off < 1 / kOff ? -1 : 0;
  off_windows_ = side != 0 && side * off_windows_ >= 0 ? off_windows_ + side : side;
  if (std::abs(off_windows_) >= kOffWindows) pace_windows_ = 2, off_windows_ = 0;
  const double weight = std::max(kPaceWeight, 1.0 / (1 + ++pace_windows_));
  pace_ = std::max(kLeastPace * std::max(1.0, cores_), pace_ + weight * (rate - pace_));
  accounts_.capacity(now, pace_);
  order_.capacity(now, settings_.rescue * pace_);
  window_ = now, window_gone_ = 0;
}

void Scheduler::went(Time now, const Entry& entry) {
  const double came = seconds_of(now - entry.arrived);
  const bool right = quote_right(entry.quoted, came);
  ++figures_.quotes, figures_.quotes_right += right;
  if (entry.quoted >= kShort || came >= kShort) ++figures_.long_quotes, figures_.long_quotes_right += right;
  figures_.longest_wait = std::max(figures_.longest_wait, came);
  if (entry.raw >= kShort / 2)
    teams_[entry.team].errors[size_of(entry.raw)].add(std::clamp(came / entry.raw, 0.1, 9.9));
}

std::optional<Moved> Scheduler::next(Time now) {
  bands_.waiting(now, waiting_.size() > 0);
  capacity_.tick(now, waiting_.size() > 0);
  if (waiting_.size() == 0) return std::nullopt;
  learn_pace(now);
  if (const auto ref = waiting_.expiring(); ref && waiting_.at(*ref).until <= now) {
    const Entry entry = waiting_.remove(*ref);
    waits_.erase(entry.query);
    ++figures_.expired, ++figures_.turned_away;
    Expected e;
    e.quote.wait = from_seconds(forecast(now, entry.team, entry.due));
    return Moved{entry.query, turn_away(e, {}, entry.query)};
  }
  const FairOrder::Next chosen =
      order_.next(now, waiting_, accounts_, settings_.age, [&](std::size_t t) { return room(now, t); });
  const std::size_t team = chosen.team;
  if (team == kNone) return std::nullopt;
  const Ref ref = *waiting_.head(team);
  const Entry entry = waiting_.remove(ref);
  const Waits waits = waits_.at(entry.query);
  waits_.erase(entry.query);
  figures_.rescued += chosen.overdue;
  In in{team,          entry.member, entry.cls,    entry.told, entry.cost,
        entry.threads, now,          waits.wanted, false,      waits.load};
  in.borrowed = accounts_.standing(now, team) == Standing::borrowing;
  went(now, entry);
  if (waiting_.size() == 0) window_gone_ += in.cost;
  enter(now, entry.query, in, chosen.overdue);
  learn_pace(now);
  return Moved{entry.query, {Ruling::pass, {}, typical(in), {}}};
}

Time Scheduler::next_due(Time now) const {
  Time due = bands_.next_due();
  if (waiting_.size() == 0) return due;
  return std::min({due, waiting_.at(*waiting_.expiring()).until, now + kLook});
}

void Scheduler::over(Time now, QueryId query, const throttle::Outcome& outcome) {
  const auto settled = throttle::remove_finished(waits_, waiting_, in_, query);
  if (!settled) return;
  const In& in = *settled;
  bands_.end(query);
  threads_in_ = in_.empty() ? 0 : threads_in_ - in.held;
  cost_.record(in.member, in.cls, in.told, outcome.measured_work_s);
  // Charged was what its kind costs on the mean, bad plans counted in, so that one bad plan does not hold up
  // its team; what it really cost goes into that mean. Only what never ran gets it back.
  if (outcome.measured_work_s > 0) {
    teams_[in.team].surcharge[in.cls].learn(in.typical, outcome.measured_work_s);
  } else if (!outcome.executed) {
    accounts_.charge(now, in.team, -in.cost);
    order_.correct(in.team, -in.cost, accounts_);
  }
  if (outcome.served() && in.typical > 0)
    service_.learn(in.team, in.cls, seconds_of(outcome.latency) * in.threads / in.typical);
  if (outcome.rejected_by_policy) window_gone_ -= in.cost;  // it took nothing of what engines do
  capacity_.on_request_finished(now, in.cls, in.threads, in.cost, outcome, waiting_.size() > 0);
}

unsigned Scheduler::started(Time now, QueryId query, const std::string& engine, unsigned wish) {
  const auto it = in_.find(query);
  if (it == in_.end()) return wish;
  const In& in = it->second;
  Bands::Start start;
  start.engine = engine;
  start.wish = wish;
  start.level = level(in.team, in.cls);
  start.borrowed = in.borrowed;
  start.load = in.load;
  const double unloaded = in.typical / std::max(1.0, in.threads);
  start.usual = from_seconds(unloaded * service_.stretch(in.team, in.cls, 0.5));
  start.usual_most = from_seconds(unloaded * service_.stretch(in.team, in.cls, 0.9));
  start.wanted = in.wanted;
  return bands_.start(now, query, start);
}

// One that sinks keeps little of its engine, and gives back the room that it no longer takes.
std::optional<Bands::Change> Scheduler::next_band(Time now) {
  const auto change = bands_.next(now);
  if (!change || !change->sinks) return change;
  In& in = in_.at(change->query);
  threads_in_ -= in.held * (1 - kSunkTakes);
  in.held *= kSunkTakes;
  return change;
}

Figures Scheduler::figures() const {
  Figures f = figures_;
  f.waiting = waiting_.size();
  f.in = in_.size();
  f.sunk = bands_.sunk();
  f.nice = bands_.told();
  f.pace = pace_;
  f.bound = capacity_.concurrency_limit();
  f.threads_in = threads_in_;
  return f;
}

Snapshot Scheduler::snapshot(Time now) {
  Snapshot out;
  out.balances = accounts_.balances(now);
  out.pace = pace_windows_ > 0 ? pace_ : 0;
  for (const Entry& e : waiting_.all())
    out.waiting.push_back({e.query, settings_.teams[e.team].name, e.member, e.cls, e.told, e.cost, e.threads,
                           e.quoted, now - e.arrived, e.due - now, e.until - now});
  return out;
}

std::vector<QueryId> Scheduler::restore(Time now, const Snapshot& snapshot) {
  accounts_.restore(now, snapshot.balances);
  if (snapshot.pace > 0) pace_ = snapshot.pace, pace_windows_ = kKnownWindows;
  accounts_.capacity(now, pace_);
  order_.capacity(now, settings_.rescue * pace_);
  window_ = now, window_gone_ = 0;
  std::vector<QueryId> left;
  for (const auto& w : snapshot.waiting) {
    if (waiting_.full()) {
      left.push_back(w.query);
      continue;
    }
    Entry entry{w.query,
                0,
                static_cast<std::uint32_t>(w.cls),
                static_cast<std::uint32_t>(w.member),
                w.told,
                w.cost,
                w.threads,
                now - w.waited,
                now + w.due_in,
                now + w.until_in,
                w.quoted,
                w.quoted};
    std::size_t team = team_of(w.member);
    for (std::size_t i = 0; i < settings_.teams.size(); ++i) {
      if (settings_.teams[i].name == w.team && accounts_.leaf(i)) team = i;
    }
    entry.team = static_cast<std::uint32_t>(team);
    waits_[w.query] = {waiting_.push(entry), entry.due, false};
  }
  return left;
}

}  // namespace yokestream::scheduler
