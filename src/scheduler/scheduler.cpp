#include "scheduler/scheduler.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/seconds.h"

namespace yokestream::scheduler {
namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(100);  // balances grow while requests wait
constexpr Duration kThroughputWindow = std::chrono::milliseconds(500);
constexpr double kThroughputWindowWeight = 0.02;  // of one window in the moving average
constexpr double kUrgentFraction = 0.5;           // of the usual time to the soft deadline
constexpr double kArrivalWeight = 0.02;           // of one request in the moving averages
constexpr int kRestoredWindows = 4;               // that a restored throughput counts for
constexpr double kDeviationFactor = 1.6;          // a window outside this ratio deviates
constexpr int kMaxDeviatingWindows = 6;           // in a row, to one side
constexpr double kArrivalTimeConstantS = 1.5;
constexpr double kNonBorrowingReserve = 0.1;  // of the concurrency limit
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
constexpr double kRetryAfterJitter = 0.25;   // spreads out the retries
constexpr double kDemotedThreadShare = 0.4;  // of its threads
constexpr double kMinThroughputPerCore = 0.02;
constexpr double kMaxForecastS = 600;

// An error is known only after the wait, so correcting it immediately and in full makes forecasts oscillate.
// Small errors are ignored; of a larger median error over many requests, only the excess is corrected.
constexpr double kLogErrorDeadBand = 0.3;
double bias_correction(double actual_over_forecast) {
  const double error = std::log(actual_over_forecast);
  return std::exp(std::copysign(std::max(0.0, std::abs(error) - kLogErrorDeadBand), error));
}

std::size_t forecast_bucket(double forecast) { return forecast < 0.25 ? 0 : forecast < 1 ? 1 : 2; }

// Queued requests are due between `max_wait` ago and three ageing steps from now.
Duration due_horizon(const Settings& s) { return s.max_wait + kServiceLevels * s.ageing_step; }

}  // namespace

bool is_accurate(double estimated_wait_s, double actual_wait_s) {
  return (estimated_wait_s < kShortWaitS && actual_wait_s < kShortWaitS) ||
         std::abs(estimated_wait_s - actual_wait_s) <= kAccuracyTolerance * actual_wait_s;
}

Scheduler::Scheduler(Time now, Settings settings, std::size_t classes)
    : settings_(std::move(settings)),
      classes_(classes),
      capacity_(classes, settings_.threads_per_core),
      cost_(std::max<std::size_t>(1, settings_.team_of.size()), classes),
      queue_(settings_.teams.size(), settings_.max_queued, due_horizon(settings_)),
      service_times_(settings_.teams.size(), classes) {
  rebuild_teams(now);
}

std::size_t Scheduler::memory_bytes(const Settings& settings) {
  return settings.max_queued * (RequestQueue::kEntryBytes + sizeof(EntryRef)) +
         settings.teams.size() * (WorkByDueTime::kSlots * sizeof(double) + sizeof(TeamState));
}

void Scheduler::rebuild_teams(Time now) {
  accounts_.configure(now, settings_);
  selector_.reset_teams(now, settings_.teams.size());
  priorities_.configure(settings_.demotion_factor, settings_.max_priority_changes_per_s);
  teams_.clear();
  for (std::size_t i = 0; i < settings_.teams.size(); ++i) {
    TeamState team;
    team.arrival_rate.assign(classes_, 0.0);
    team.mean_cost_ratio.resize(classes_);
    team.to_soft_deadline.assign(classes_, 0.0);
    for (std::size_t cls = 0; cls < classes_; ++cls)
      team.to_due.push_back(seconds_of((kServiceLevels - 1 - level(i, cls)) * settings_.ageing_step));
    team.arrival_rate_at.assign(classes_, now);
    teams_.push_back(std::move(team));
  }
  set_cores(now, cores_);
}

void Scheduler::configure(Time now, const Settings& settings) {
  Snapshot kept = snapshot(now);
  std::unordered_map<QueryId, Queued> old_queued = std::move(queued_);
  for (const Entry& entry : queue_.all()) queue_.remove(old_queued.at(entry.query).ref);
  queued_.clear();
  const std::size_t max_queued = settings_.max_queued;
  const auto& teams = settings_.teams;
  const bool same = std::equal(teams.begin(), teams.end(), settings.teams.begin(), settings.teams.end(),
                               [](const Team& a, const Team& b) { return a.name == b.name; });
  settings_ = settings, settings_.max_queued = max_queued;  // memory is allocated once
  std::vector<TeamState> previous = std::move(teams_);
  rebuild_teams(now);
  queue_.reset_teams(settings_.teams.size(), due_horizon(settings_));
  if (same)
    teams_ = std::move(previous);
  else
    service_times_ = ServiceTimes(settings_.teams.size(), classes_);
  for (auto& [query, request] : admitted_) request.team = team_of(request.tenant);
  restore(now, kept);
  for (auto& [query, queued] : queued_) {
    if (const auto it = old_queued.find(query); it != old_queued.end())
      queued.soft_deadline = it->second.soft_deadline, queued.is_load = it->second.is_load;
  }
}

void Scheduler::set_cores(Time now, double cores) {
  if (cores > 0 && cores_ > 0 && cores != cores_)
    throughput_ *= cores / cores_, throughput_windows_ = std::min(throughput_windows_, kRestoredWindows);
  if (cores > 0) cores_ = cores;
  capacity_.set_cores(cores);
  if (throughput_windows_ == 0) throughput_ = capacity_.drain_rate();
  accounts_.set_throughput(now, throughput_);
  selector_.set_overdue_rate(now, settings_.overdue_share * throughput_);
}

std::size_t Scheduler::team_of(std::size_t tenant) const {
  const std::size_t team = tenant < settings_.team_of.size() ? settings_.team_of[tenant] : 0;
  return team < settings_.teams.size() ? team : 0;
}

unsigned Scheduler::level(std::size_t team, std::size_t cls) const {
  const auto& level = settings_.teams[team].level_by_class;
  return cls < level.size() ? level[cls] : 1;
}

double Scheduler::arrival_rate(Time now, std::size_t team, std::size_t cls) const {
  return teams_[team].arrival_rate[cls] *
         std::exp(-seconds_of(now - teams_[team].arrival_rate_at[cls]) / kArrivalTimeConstantS);
}

void Scheduler::add_arrival(Time now, std::size_t team, std::size_t cls, double cost) {
  const double smoothed = arrival_rate(now, team, cls) + cost / kArrivalTimeConstantS;
  teams_[team].arrival_rate[cls] = smoothed, teams_[team].arrival_rate_at[cls] = now;
}

void Scheduler::fill_fluid_queues(Time now) {
  fluid_queues_.clear();
  for (std::size_t i = 0; i < teams_.size(); ++i) {
    FluidQueue queue;
    queue.work = queue_.work(i);
    for (std::size_t cls = 0; cls < classes_; ++cls) queue.arrival_rate += arrival_rate(now, i, cls);
    queue.arrival_rate = std::min(queue.arrival_rate, throughput_);  // more is not admitted
    queue.weight = accounts_.weight(i);
    queue.budget_balance = accounts_.budget_balance(now, i);
    queue.budget_rate = accounts_.budget_rate(i);
    queue.floor_rate = settings_.teams[i].floor * throughput_;
    if (settings_.teams[i].ceiling < 1) queue.ceiling_rate = accounts_.ceiling_rate(i);
    fluid_queues_.push_back(queue);
  }
}

// Requests that arrive during the wait and are due earlier are added to the work ahead. Their number depends
// on the wait, so the forecast is iterated; two rounds suffice.
double Scheduler::forecast_wait_s(Time now, std::size_t team, Time due) {
  const double ahead = queue_.work_before(team, due);
  fill_fluid_queues(now);
  double wait = 0;
  for (int round = 0; round < 2; ++round) {
    double more = 0;
    for (std::size_t cls = 0; cls < classes_; ++cls)
      more += arrival_rate(now, team, cls) *
              std::clamp(seconds_of(due - now) - teams_[team].to_due[cls], 0.0, wait);
    fluid_scratch_ = fluid_queues_;
    wait = drain_time(fluid_scratch_, team, ahead + more, throughput_, kMaxForecastS);
    if (round == 0 && wait == 0) break;
  }
  // Once overdue, the request is also served from the team's part of the overdue share.
  const double overdue_rate =
      settings_.overdue_share * throughput_ / static_cast<double>(1 + other_overdue_teams(now, team));
  if (overdue_rate <= 0) return wait;
  return std::min(wait, seconds_of(due - now + settings_.ageing_step) + ahead / overdue_rate);
}

std::size_t Scheduler::other_overdue_teams(Time now, std::size_t team) const {
  std::size_t count = 0;
  for (std::size_t i = 0; i < teams_.size(); ++i) {
    const auto head = queue_.head(i);
    count += i != team && head && now - queue_.at(*head).due > settings_.ageing_step;
  }
  return count;
}

bool Scheduler::has_capacity(Time now, std::size_t team) {
  if (threads_in_use_ == 0) return true;
  const bool borrows = accounts_.status(now, team) == BudgetStatus::borrowing;
  return threads_in_use_ < capacity_.concurrency_limit() * (borrows ? 1 - kNonBorrowingReserve : 1);
}

Scheduler::Estimate Scheduler::estimate(Time now, const Arrival& arrival, bool immediately) {
  Estimate e;
  e.team = team_of(arrival.tenant);
  e.typical_cost = cost_.estimate_s(arrival.tenant, arrival.cls, arrival.estimated_work_s);
  e.cost = e.typical_cost * teams_[e.team].mean_cost_ratio[arrival.cls].value();
  const double unloaded_s = e.typical_cost / std::max(1.0, arrival.threads);
  const double slowdown_p90 = service_times_.slowdown(e.team, arrival.cls, 0.9);
  const double slowdown = service_times_.slowdown(e.team, arrival.cls, 0.5);
  // Requests of service level 0 have no soft deadline.
  const bool can_wait = level(e.team, arrival.cls) == 0;
  const Time soft_deadline = can_wait ? Time::max() : arrival.soft_deadline;
  const Duration service_time = from_seconds(unloaded_s * slowdown);
  // Requests of a class keep their order, unless a soft deadline is much nearer than usual: otherwise those
  // due slightly earlier would get shorter estimates, be admitted for that, and delay the others.
  e.to_due = seconds_of(
      due_time(now, level(e.team, arrival.cls), settings_.ageing_step, soft_deadline, service_time) - now);
  const double class_to_due = teams_[e.team].to_due[arrival.cls];
  e.to_soft_deadline = can_wait ? 0 : seconds_of(soft_deadline - now);
  const bool urgent =
      !can_wait && e.to_soft_deadline < kUrgentFraction * teams_[e.team].to_soft_deadline[arrival.cls];
  e.due = now + from_seconds(urgent ? std::min(e.to_due, class_to_due) : class_to_due);
  e.expires = std::min(now + settings_.max_wait, arrival.deadline - service_time);
  const Duration slack = std::max(Duration{}, soft_deadline - service_time - now);
  e.max_wait = std::max(Duration{}, e.expires - now);
  if (!can_wait) e.max_wait = std::min(e.max_wait, from_seconds(settings_.slack_factor * seconds_of(slack)));
  if (!immediately) {
    e.raw_forecast_s = forecast_wait_s(now, e.team, e.due);
    const Distribution& forecast_errors = teams_[e.team].forecast_errors[forecast_bucket(e.raw_forecast_s)];
    const double median_s = e.raw_forecast_s * bias_correction(forecast_errors.quantile(0.5, 1)),
                 p90_s = e.raw_forecast_s * forecast_errors.quantile(0.9, 1.25);
    e.wait.wait = from_seconds(median_s), e.wait.wait_p90 = from_seconds(std::max(median_s, p90_s));
  }
  e.wait.response = e.wait.wait + from_seconds(unloaded_s * slowdown);
  e.wait.response_p90 = e.wait.wait_p90 + from_seconds(unloaded_s * std::max(slowdown, slowdown_p90));
  return e;
}

WaitEstimate Scheduler::estimate_wait(Time now, const Arrival& arrival) {
  const std::size_t team = team_of(arrival.tenant);
  return estimate(now, arrival, queue_.count(team) == 0 && has_capacity(now, team)).wait;
}

void Scheduler::admit(Time now, QueryId query, const Admitted& request, bool overdue) {
  threads_in_use_ += request.threads;
  if (queue_.size() > 0) window_cost_ += request.cost;
  Admitted& stored = admitted_[query] = request;
  stored.threads_held = request.threads, stored.typical_cost = typical_cost(request);
  accounts_.charge(now, request.team, request.cost);
  selector_.on_dispatched(now, {request.team, overdue}, request.cost, accounts_);
}

Verdict Scheduler::reject(const Estimate& estimate, Duration max_wait, QueryId query) const {
  const double excess_s = seconds_of(estimate.wait.wait) - 0.5 * seconds_of(max_wait);
  const double jitter =
      static_cast<double>((static_cast<std::uint64_t>(query) * 0x9e3779b97f4a7c15ull) >> 11) * 0x1.0p-53;
  const Duration retry_after = from_seconds(std::max(0.0, excess_s) * (1 + kRetryAfterJitter * jitter));
  return {Decision::reject,
          std::clamp(retry_after, kMinRetryAfter, std::max(kMinRetryAfter, settings_.max_retry_after)), 0,
          estimate.wait};
}

Verdict Scheduler::offer(Time now, const Arrival& arrival) {
  ++metrics_.arrived;
  const std::size_t team = team_of(arrival.tenant);
  const bool immediately = queue_.count(team) == 0 &&
                           accounts_.status(now, team) != BudgetStatus::at_ceiling && has_capacity(now, team);
  const Estimate e = estimate(now, arrival, immediately);
  double& to_due = teams_[team].to_due[arrival.cls];
  to_due += kArrivalWeight * (e.to_due - to_due);
  double& to_soft_deadline = teams_[team].to_soft_deadline[arrival.cls];
  to_soft_deadline += (to_soft_deadline == 0 ? 1 : kArrivalWeight) * (e.to_soft_deadline - to_soft_deadline);
  if (immediately) {
    add_arrival(now, team, arrival.cls, e.cost);
    Admitted request{team,   arrival.tenant,  arrival.cls, arrival.estimated_work_s,
                     e.cost, arrival.threads, now,         arrival.soft_deadline,
                     false,  arrival.is_load};
    request.borrowed = accounts_.status(now, team) == BudgetStatus::borrowing;
    admit(now, arrival.query, request);
    ++metrics_.admitted_immediately, ++metrics_.estimates, ++metrics_.accurate_estimates;
    return {Decision::admit, {}, e.typical_cost, e.wait};
  }
  if (e.expires <= now || e.wait.wait > e.max_wait || queue_.full()) {
    ++metrics_.rejected;
    return reject(e, e.max_wait, arrival.query);
  }
  add_arrival(now, team, arrival.cls, e.cost);
  if (queue_.size() == 0) window_start_ = now, window_cost_ = 0;
  Entry entry{arrival.query,
              static_cast<std::uint32_t>(team),
              static_cast<std::uint32_t>(arrival.cls),
              static_cast<std::uint32_t>(arrival.tenant),
              arrival.estimated_work_s,
              e.cost,
              arrival.threads,
              now,
              e.due,
              e.expires,
              seconds_of(e.wait.wait),
              e.raw_forecast_s};
  queued_[arrival.query] = {queue_.push(entry), arrival.soft_deadline, arrival.is_load};
  ++metrics_.queued;
  return {Decision::queue, {}, e.typical_cost, e.wait};
}

// The cost dispatched during a window in which requests always wait is what the engines can take; otherwise
// only what was offered. A mean over many windows keeps estimates steady; over few after a start, a change of
// engines, or several windows in a row that deviate to one side.
void Scheduler::update_throughput(Time now) {
  if (now - window_start_ < kThroughputWindow) return;
  const double rate = window_cost_ / seconds_of(now - window_start_);
  const double ratio = rate / throughput_;
  const int side = ratio > kDeviationFactor ? 1 : ratio < 1 / kDeviationFactor ? -1 : 0;
  deviating_windows_ = side != 0 && side * deviating_windows_ >= 0 ? deviating_windows_ + side : side;
  if (std::abs(deviating_windows_) >= kMaxDeviatingWindows) throughput_windows_ = 2, deviating_windows_ = 0;
  const double weight = std::max(kThroughputWindowWeight, 1.0 / (1 + ++throughput_windows_));
  throughput_ =
      std::max(kMinThroughputPerCore * std::max(1.0, cores_), throughput_ + weight * (rate - throughput_));
  accounts_.set_throughput(now, throughput_);
  selector_.set_overdue_rate(now, settings_.overdue_share * throughput_);
  window_start_ = now, window_cost_ = 0;
}

void Scheduler::record_wait(Time now, const Entry& entry) {
  const double actual_wait_s = seconds_of(now - entry.arrived);
  const bool accurate = is_accurate(entry.estimated_wait_s, actual_wait_s);
  ++metrics_.estimates, metrics_.accurate_estimates += accurate;
  if (entry.estimated_wait_s >= kShortWaitS || actual_wait_s >= kShortWaitS)
    ++metrics_.long_estimates, metrics_.accurate_long_estimates += accurate;
  metrics_.longest_wait_s = std::max(metrics_.longest_wait_s, actual_wait_s);
  if (entry.raw_forecast_s >= kShortWaitS / 2)
    teams_[entry.team].forecast_errors[forecast_bucket(entry.raw_forecast_s)].add(
        std::clamp(actual_wait_s / entry.raw_forecast_s, 0.1, 9.9));
}

std::optional<QueueVerdict> Scheduler::next(Time now) {
  priorities_.update_contention(now, queue_.size() > 0);
  capacity_.tick(now, queue_.size() > 0);
  if (queue_.size() == 0) return std::nullopt;
  update_throughput(now);
  if (const auto ref = queue_.next_to_expire(); ref && queue_.at(*ref).expires <= now) {
    const Entry entry = queue_.remove(*ref);
    queued_.erase(entry.query);
    ++metrics_.expired, ++metrics_.rejected;
    Estimate e;
    e.wait.wait = from_seconds(forecast_wait_s(now, entry.team, entry.due));
    return QueueVerdict{entry.query, reject(e, {}, entry.query)};
  }
  const TeamSelector::Selection selection = selector_.select(
      now, queue_, accounts_, settings_.ageing_step, [&](std::size_t t) { return has_capacity(now, t); });
  const std::size_t team = selection.team;
  if (team == kNoTeam) return std::nullopt;
  const EntryRef ref = *queue_.head(team);
  const Entry entry = queue_.remove(ref);
  const Queued queued = queued_.at(entry.query);
  queued_.erase(entry.query);
  metrics_.dispatched_overdue += selection.overdue;
  Admitted request{team, entry.tenant,         entry.cls, entry.estimated_work_s, entry.cost, entry.threads,
                   now,  queued.soft_deadline, false,     queued.is_load};
  request.borrowed = accounts_.status(now, team) == BudgetStatus::borrowing;
  record_wait(now, entry);
  if (queue_.size() == 0) window_cost_ += request.cost;
  admit(now, entry.query, request, selection.overdue);
  update_throughput(now);
  return QueueVerdict{entry.query, {Decision::admit, {}, typical_cost(request), {}}};
}

Time Scheduler::next_due(Time now) const {
  Time due = priorities_.next_due();
  if (queue_.size() == 0) return due;
  return std::min({due, queue_.at(*queue_.next_to_expire()).expires, now + kPollInterval});
}

void Scheduler::on_request_finished(Time now, QueryId query, const throttle::Outcome& outcome) {
  const auto settled = throttle::remove_finished(queued_, queue_, admitted_, query);
  if (!settled) return;
  const Admitted& request = *settled;
  priorities_.on_attempt_ended(query);
  threads_in_use_ = admitted_.empty() ? 0 : threads_in_use_ - request.threads_held;
  cost_.record(request.tenant, request.cls, request.estimated_work_s, outcome.measured_work_s);
  // The team was charged its class's mean cost, bad plans included, so that one bad plan does not block it.
  // The actual cost goes into that mean. Only requests that never ran are refunded.
  if (outcome.measured_work_s > 0) {
    teams_[request.team].mean_cost_ratio[request.cls].add(request.typical_cost, outcome.measured_work_s);
  } else if (!outcome.executed) {
    accounts_.charge(now, request.team, -request.cost);
    selector_.adjust(request.team, -request.cost, accounts_);
  }
  if (outcome.served() && request.typical_cost > 0)
    service_times_.add(request.team, request.cls,
                       seconds_of(outcome.latency) * request.threads / request.typical_cost);
  if (outcome.rejected_by_policy) window_cost_ -= request.cost;  // no engine worked on it
  capacity_.on_request_finished(now, request.cls, request.threads, request.cost, outcome, queue_.size() > 0);
}

unsigned Scheduler::on_attempt_started(Time now, QueryId query, const std::string& engine,
                                       unsigned priority) {
  const auto it = admitted_.find(query);
  if (it == admitted_.end()) return priority;
  const Admitted& request = it->second;
  EnginePriorities::Attempt attempt;
  attempt.engine = engine, attempt.requested = priority;
  attempt.level = level(request.team, request.cls), attempt.soft_deadline = request.soft_deadline;
  attempt.borrowed = request.borrowed, attempt.is_load = request.is_load;
  const double unloaded_s = request.typical_cost / std::max(1.0, request.threads);
  attempt.expected_time = from_seconds(unloaded_s * service_times_.slowdown(request.team, request.cls, 0.5));
  attempt.expected_time_p90 =
      from_seconds(unloaded_s * service_times_.slowdown(request.team, request.cls, 0.9));
  return priorities_.on_attempt_started(now, query, attempt);
}

// A demoted query uses little of its engine, so it releases part of the threads that it holds.
std::optional<EnginePriorities::Change> Scheduler::next_priority_change(Time now) {
  const auto change = priorities_.next_change(now);
  if (!change || !change->demotes) return change;
  Admitted& request = admitted_.at(change->query);
  threads_in_use_ -= request.threads_held * (1 - kDemotedThreadShare);
  request.threads_held *= kDemotedThreadShare;
  return change;
}

Metrics Scheduler::metrics() const {
  Metrics out = metrics_;
  out.waiting = queue_.size(), out.admitted = admitted_.size(), out.demoted = priorities_.demoted();
  out.priority_changes = priorities_.changes_sent(), out.concurrency_limit = capacity_.concurrency_limit();
  out.throughput = throughput_, out.threads_in_use = threads_in_use_;
  return out;
}

Snapshot Scheduler::snapshot(Time now) {
  Snapshot out;
  out.balances = accounts_.balances(now);
  out.throughput = throughput_windows_ > 0 ? throughput_ : 0;
  for (const Entry& e : queue_.all())
    out.queued.push_back({e.query, settings_.teams[e.team].name, e.tenant, e.cls, e.estimated_work_s, e.cost,
                          e.threads, e.estimated_wait_s, now - e.arrived, e.due - now, e.expires - now});
  return out;
}

std::vector<QueryId> Scheduler::restore(Time now, const Snapshot& snapshot) {
  accounts_.restore(now, snapshot.balances);
  if (snapshot.throughput > 0) throughput_ = snapshot.throughput, throughput_windows_ = kRestoredWindows;
  accounts_.set_throughput(now, throughput_);
  selector_.set_overdue_rate(now, settings_.overdue_share * throughput_);
  window_start_ = now, window_cost_ = 0;
  std::vector<QueryId> rejected;
  for (const auto& w : snapshot.queued) {
    if (queue_.full()) {
      rejected.push_back(w.query);
      continue;
    }
    Entry entry{w.query,
                0,
                static_cast<std::uint32_t>(w.cls),
                static_cast<std::uint32_t>(w.tenant),
                w.estimated_work_s,
                w.cost,
                w.threads,
                now - w.waited,
                now + w.due_in,
                now + w.expires_in,
                w.estimated_wait_s,
                w.estimated_wait_s};
    std::size_t team = team_of(w.tenant);
    for (std::size_t i = 0; i < settings_.teams.size(); ++i) {
      if (settings_.teams[i].name == w.team && accounts_.is_leaf(i)) team = i;
    }
    entry.team = static_cast<std::uint32_t>(team);
    queued_[w.query] = {queue_.push(entry), entry.due, false};
  }
  return rejected;
}

}  // namespace yokestream::scheduler
