#include "dispatch/admission_stages.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "base/seconds.h"

namespace yokestream::dispatch {
namespace {

using policy::QueryId;

constexpr Duration kLogInterval = std::chrono::seconds(10);

// With a scheduler behind it, the throttle admits more work than the engines can run: the scheduler queues
// the excess.
throttle::Settings throttle_settings(const config::Config& config) {
  throttle::Settings settings = config.door;
  if (config.queues.enabled) settings.limit_multiplier = config.queues.throttle_headroom;
  return settings;
}

}  // namespace

AdmissionStages::AdmissionStages(const config::Config& config, Time now, Log& log)
    : config_(config), log_(log) {
  const std::size_t classes = config.settings.classes.size();
  if (config.door.on) throttle_.emplace(throttle_settings(config), config.settings.tenants.size(), classes);
  if (config.queues.enabled) scheduler_.emplace(now, config.queues, classes);
}

const policy::ClassSettings& AdmissionStages::class_of(const RequestReceived& request) const {
  return config_.settings.classes[static_cast<std::size_t>(request.query_class)];
}

void AdmissionStages::configure_throttle(const throttle::Settings& settings) {
  if (!throttle_ || !settings.on) return;
  throttle::Settings with_limit = settings;
  with_limit.limit_multiplier = throttle_->limit_multiplier();
  throttle_->configure(with_limit);
}

void AdmissionStages::configure_scheduler(Time now, const scheduler::Settings& settings) {
  if (scheduler_ && settings.enabled) scheduler_->configure(now, settings);
}

void AdmissionStages::set_cores(Time now, double cores) {
  if (throttle_) throttle_->set_cores(cores);
  if (scheduler_) scheduler_->set_cores(now, cores);
}

throttle::Admission AdmissionStages::offer_to_throttle(Time now, QueryId query,
                                                       const RequestReceived& request, std::uint64_t origin) {
  throttle::Arrival arrival;
  arrival.query = query;
  arrival.tenant = static_cast<std::size_t>(request.tenant);
  arrival.query_class = static_cast<std::size_t>(request.query_class);
  arrival.client = config_.door.client_per_connection ? static_cast<std::uint64_t>(request.session) : origin;
  arrival.estimated_work_s = request.work ? seconds_of(*request.work) : 0;
  arrival.threads = class_of(request).threads;
  arrival.deadline = request.deadline;
  return throttle_->offer(now, arrival);
}

scheduler::Verdict AdmissionStages::offer_to_scheduler(Time now, QueryId query,
                                                       const RequestReceived& request, double cost_s) {
  return scheduler_->offer(now, scheduler_arrival(now, query, request, cost_s));
}

scheduler::WaitEstimate AdmissionStages::quote(Time now, const RequestReceived& request) {
  return scheduler_->estimate_wait(now, scheduler_arrival(now, {}, request, 0));
}

scheduler::Arrival AdmissionStages::scheduler_arrival(Time now, QueryId query, const RequestReceived& request,
                                                      double cost_s) const {
  const policy::ClassSettings& query_class = class_of(request);
  const double reported_s = request.work ? seconds_of(*request.work) : 0;
  const double estimate_s = cost_s > 0 ? cost_s : reported_s;
  scheduler::Arrival arrival;
  arrival.query = query;
  arrival.tenant = static_cast<std::size_t>(request.tenant);
  arrival.cls = static_cast<std::size_t>(request.query_class);
  arrival.estimated_work_s = estimate_s;
  arrival.threads = query_class.threads;
  arrival.deadline = request.deadline;
  arrival.soft_deadline =
      now + query_class.latency_objective +
      from_seconds(query_class.latency_objective_stretch * estimate_s / std::max(1.0, query_class.threads));
  arrival.is_load =
      query_class.locks_table_group || query_class.idempotency != policy::Idempotency::idempotent;
  return arrival;
}

std::optional<throttle::QueuedDecision> AdmissionStages::next_from_throttle(Time now) {
  return throttle_ ? throttle_->next_decision(now) : std::nullopt;
}

std::optional<scheduler::QueueVerdict> AdmissionStages::next_from_scheduler(Time now) {
  return scheduler_ ? scheduler_->next(now) : std::nullopt;
}

Time AdmissionStages::next_due(Time now) const {
  const Time throttle_due = throttle_ ? throttle_->next_due(now) : Time::max();
  const Time scheduler_due = scheduler_ ? scheduler_->next_due(now) : Time::max();
  return std::min(throttle_due, scheduler_due);
}

std::uint32_t AdmissionStages::on_attempt_started(Time now, QueryId query, const std::string& engine,
                                                  std::uint32_t requested_priority) {
  return scheduler_ ? scheduler_->on_attempt_started(now, query, engine, requested_priority)
                    : requested_priority;
}

void AdmissionStages::on_attempt_ended(QueryId query) {
  if (scheduler_) scheduler_->on_attempt_ended(query);
}

std::optional<std::uint32_t> AdmissionStages::on_priority_requested(Time now, QueryId query,
                                                                    std::uint32_t priority) {
  return scheduler_ ? scheduler_->on_priority_requested(now, query, priority) : std::optional(priority);
}

std::optional<scheduler::EnginePriorities::Change> AdmissionStages::next_band_change(Time now) {
  return scheduler_ ? scheduler_->next_priority_change(now) : std::nullopt;
}

void AdmissionStages::on_request_finished(Time now, QueryId query, const throttle::Outcome& outcome) {
  if (throttle_) throttle_->on_request_finished(now, query, outcome);
  if (scheduler_) scheduler_->on_request_finished(now, query, outcome);
}

std::optional<throttle::Metrics> AdmissionStages::throttle_metrics() const {
  return throttle_ ? std::optional(throttle_->metrics()) : std::nullopt;
}

std::optional<scheduler::Metrics> AdmissionStages::scheduler_metrics() const {
  return scheduler_ ? std::optional(scheduler_->metrics()) : std::nullopt;
}

void AdmissionStages::log_metrics_if_due(Time now) {
  if (!enabled() || now < next_log_) return;
  next_log_ = now + kLogInterval;
  if (scheduler_) log_scheduler_metrics();
  if (throttle_) log_throttle_metrics();
}

// The keys are documented for the operators and must not change.
void AdmissionStages::log_throttle_metrics() {
  const throttle::Metrics f = throttle_->metrics();
  if (std::exchange(logged_rejections_, f.rejected) == f.rejected) return;
  std::ostringstream line;
  line.precision(3);
  line << "door arrived=" << f.arrived << " passed_at_once=" << f.admitted_immediately
       << " waited=" << f.queued << " turned_away=" << f.rejected << " early=" << f.early_retries
       << " kept=" << f.reservations_claimed << " kept_in=" << f.reservations_admitted
       << " waiting=" << f.queue_length << " in=" << f.in_flight << " places=" << f.reservations
       << " bound=" << f.concurrency_limit << " threads_in=" << f.threads_in_flight
       << " drain_rate=" << f.drain_rate << " stretch=" << f.stretch;
  log_.write(line.str());
}

void AdmissionStages::log_scheduler_metrics() {
  const scheduler::Metrics f = scheduler_->metrics();
  const std::uint64_t waits = f.queued + f.rejected;
  if (std::exchange(logged_waits_, waits) == waits) return;
  std::ostringstream line;
  line.precision(3);
  line << "queues arrived=" << f.arrived << " passed_at_once=" << f.admitted_immediately
       << " waited=" << f.queued << " turned_away=" << f.rejected << " expired=" << f.expired
       << " rescued=" << f.dispatched_overdue << " quotes=" << f.estimates
       << " quotes_right=" << f.accurate_estimates << " long_quotes=" << f.long_estimates
       << " long_quotes_right=" << f.accurate_long_estimates << " longest_wait=" << f.longest_wait_s
       << " waiting=" << f.waiting << " in=" << f.admitted << " sunk=" << f.demoted
       << " nice=" << f.priority_changes << " pace=" << f.throughput << " bound=" << f.concurrency_limit
       << " threads_in=" << f.threads_in_use;
  log_.write(line.str());
}

}  // namespace yokestream::dispatch
