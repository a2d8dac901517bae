#include "throttle/throttle.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>

#include "base/seconds.h"

namespace yokestream::throttle {
namespace {

// A client may claim its reservation this early, because of clock differences and network delays.
constexpr Duration kEarlyTolerance = std::chrono::milliseconds(20);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
// While requests are queued, next_decision() is due this often, so that capacity windows are closed.
constexpr Duration kTickInterval = std::chrono::milliseconds(100);
// A tenant counts as active for this long after its last arrival.
constexpr Duration kActivePeriod = std::chrono::milliseconds(1000);
// With an empty queue and below this fraction of the limit, early retries are not rejected.
constexpr double kLightLoadFraction = 0.5;
constexpr double kMaxServiceTimeStretch = 3;
// Reservations use this fraction of the drain rate; the rest is headroom for unforeseen requests.
constexpr double kReservableFraction = 0.9;
// Without a reservation, retry-after times are shortened by up to this fraction to spread the retries.
constexpr double kRetryAfterSpread = 0.25;
// For memory_bytes().
constexpr std::size_t kReservationBytes = 32, kHeavyHitterBytes = 24, kMapNodeBytes = 96;

// One key per client and class, so that short requests do not wait for the reservations of long ones.
std::uint64_t client_key_of(std::uint64_t client, std::size_t query_class) {
  const std::array<std::uint64_t, 2> both{client, query_class};
  return XXH3_64bits(both.data(), sizeof both);
}

}  // namespace

Throttle::Throttle(Settings settings, std::size_t tenants, std::size_t classes)
    : settings_(std::move(settings)),
      capacity_(classes, settings_.initial_threads_per_core),
      cost_(std::max<std::size_t>(tenants, 1), classes),
      client_queues_(std::max<std::size_t>(tenants, 1), settings_.seed),
      queue_(std::max<std::size_t>(tenants, 1), settings_.max_queued),
      reservations_(settings_.max_reservations, settings_.reservation_grace),
      tenants_(std::max<std::size_t>(tenants, 1)),
      random_(settings_.seed) {
  evicted_.reserve(4);
  configure(settings_);
}

void Throttle::configure(const Settings& settings) {
  settings_ = settings;
  total_weight_ = 0;
  for (std::size_t i = 0; i < tenants_.size(); ++i) {
    queue_.set_weight(i, i < settings.weights.size() ? settings.weights[i] : 1);
    total_weight_ += queue_.weight(i);
  }
}

std::size_t Throttle::memory_bytes(const Settings& settings, std::size_t tenants) {
  return FairQueue::memory_bytes(tenants, settings.max_queued) +
         settings.max_reservations * kReservationBytes +
         tenants * (ClientQueues::kHeavyHitters * kHeavyHitterBytes + sizeof(Tenant)) +
         settings.max_queued * kMapNodeBytes;
}

// A tenant within its share may use the whole limit; the others leave a fraction of it free, so that a tenant
// that becomes active again finds capacity at once and not when a long query ends.
bool Throttle::may_pass(std::size_t tenant, double threads) const {
  if (threads_in_flight_ == 0) return true;
  const double limit = capacity_.concurrency_limit() * settings_.limit_multiplier;
  const bool within_share =
      tenants_[tenant].threads_in_flight + threads <= std::max(threads, share(tenant) * limit);
  return threads_in_flight_ + threads <= limit * (within_share ? 1 : 1 - settings_.reserved_fraction);
}

// The tenant's part of the drain rate, by weight among the active tenants.
double Throttle::drain_rate_of(Time now, std::size_t tenant) const {
  double active_weight = queue_.weight(tenant);
  for (std::size_t i = 0; i < tenants_.size(); ++i) {
    const Tenant& other = tenants_[i];
    if (i != tenant &&
        (other.in_flight > 0 || queue_.count(i) > 0 || now - other.last_arrival < kActivePeriod))
      active_weight += queue_.weight(i);
  }
  return capacity_.drain_rate() * queue_.weight(tenant) / active_weight;
}

Duration Throttle::service_time(const Arrival& arrival, double cost) const {
  return from_seconds(cost / arrival.threads * std::clamp(capacity_.stretch(), 1.0, kMaxServiceTimeStretch));
}

void Throttle::add_in_flight(Time now, QueryId query, const InFlight& request) {
  Tenant& tenant = tenants_[request.tenant];
  tenant.threads_in_flight += request.threads;
  ++tenant.in_flight;
  threads_in_flight_ += request.threads;
  InFlight& stored = in_flight_[query] = request;
  stored.admitted_at = now;
}

// Reservations of a queue follow one another at the rate at which the queue is served, so that the requests
// of a heavy client delay only that client's own later requests.
Admission Throttle::reject(Time now, std::size_t tenant, std::size_t queue, std::uint64_t client_key,
                           double cost) {
  ++metrics_.rejected;
  const double rate = drain_rate_of(now, tenant);
  Time& last_reserved = tenants_[tenant].last_reserved[queue];
  const Time drained = now + std::max(kMinRetryAfter, from_seconds(queue_.cost_ahead(tenant, queue) / rate));
  const Time due = std::max(last_reserved, drained) +
                   from_seconds(cost / (kReservableFraction * rate) * queue_.active_queues(tenant, queue));
  if (due - now <= settings_.max_retry_after && reservations_.add(now, client_key, {due, cost})) {
    last_reserved = due;
    return {Decision::reject, due - now, 0};
  }
  // No reservation: the time is advice only, spread so that the clients do not all come back at one moment.
  random_ = XXH3_64bits_withSeed(&client_key, sizeof client_key, random_);
  const double spread = kRetryAfterSpread * static_cast<double>(random_ >> 11) * 0x1.0p-53;
  const double retry_after_s = seconds_of(std::min(settings_.max_retry_after, due - now)) * (1 - spread);
  return {Decision::reject, std::max(kMinRetryAfter, from_seconds(retry_after_s)), 0};
}

Admission Throttle::offer(Time now, const Arrival& arrival) {
  ++metrics_.arrived;
  const std::size_t tenant_index = std::min(arrival.tenant, tenants_.size() - 1);
  Tenant& tenant = tenants_[tenant_index];
  tenant.last_arrival = now;
  const std::uint64_t client_key = client_key_of(arrival.client, arrival.query_class);
  const bool light_load = queue_.size() == 0 &&
                          threads_in_flight_ + arrival.threads <=
                              kLightLoadFraction * capacity_.concurrency_limit() * settings_.limit_multiplier;
  if (!light_load) {
    if (const auto reservation = reservations_.find(now, client_key);
        reservation && now < reservation->due - kEarlyTolerance) {
      ++metrics_.early_retries, ++metrics_.rejected;
      return {Decision::reject, reservation->due - now, 0};
    }
  }
  const bool reserved = reservations_.claim(now, client_key).has_value();
  metrics_.reservations_claimed += reserved;
  const double cost = cost_.estimate_s(tenant_index, arrival.query_class, arrival.estimated_work_s);
  const auto queue =
      static_cast<std::uint32_t>(client_queues_.record_and_select(now, tenant_index, client_key, cost));
  const auto query_class = static_cast<std::uint32_t>(arrival.query_class);
  if (queue_.count(tenant_index) == 0 && may_pass(tenant_index, arrival.threads)) {
    queue_.charge_unqueued(tenant_index, queue, cost);
    add_in_flight(now, arrival.query,
                  {static_cast<std::uint32_t>(tenant_index), queue, query_class, arrival.estimated_work_s,
                   cost, arrival.threads, now});
    ++metrics_.admitted_immediately;
    metrics_.reservations_admitted += reserved;
    return {Decision::admit, {}, cost};
  }
  const Time latest_start = arrival.deadline - service_time(arrival, cost);
  const double rate = drain_rate_of(now, tenant_index);
  // A request with a reservation goes to the front of its queue, so it is not expected to wait.
  const Duration reserved_ahead =
      reserved ? Duration{} : std::max(Duration{}, tenant.last_reserved[queue] - now);
  const Duration wait =
      std::max(reserved_ahead, from_seconds((reserved ? 0 : queue_.cost_ahead(tenant_index, queue)) / rate));
  const Duration max_wait = std::min(
      settings_.max_wait, from_seconds(settings_.max_wait_fraction * seconds_of(arrival.deadline - now)));
  if (latest_start <= now || wait > (reserved ? latest_start - now : std::min(max_wait, latest_start - now)))
    return reject(now, tenant_index, queue, client_key, cost);
  if (queue_.full()) {
    const std::size_t largest = queue_.largest_backlog();
    if (largest == tenant_index) return reject(now, tenant_index, queue, client_key, cost);
    evicted_.push_back(reject_queued(now, queue_.newest(largest)));
  }
  const FairQueue::Ref ref = queue_.push(
      {arrival.query, static_cast<std::uint32_t>(tenant_index), queue, cost, arrival.threads, latest_start},
      reserved);
  queued_[arrival.query] = Queued{ref, query_class, arrival.estimated_work_s, client_key};
  ++metrics_.queued;
  metrics_.reservations_admitted += reserved;
  return {Decision::queue, {}, cost};
}

QueuedDecision Throttle::reject_queued(Time now, FairQueue::Ref ref) {
  const FairQueue::Entry entry = queue_.remove(ref);
  const auto it = queued_.find(entry.query);
  const std::uint64_t client_key = it->second.client_key;
  queued_.erase(it);
  return {entry.query, reject(now, entry.tenant, entry.queue, client_key, entry.cost)};
}

void Throttle::on_request_finished(Time now, QueryId query, const Outcome& outcome) {
  const auto removed = remove_finished(queued_, queue_, in_flight_, query);
  if (!removed) return;
  const InFlight& request = *removed;
  Tenant& tenant = tenants_[request.tenant];
  // Sums are set to zero when nothing is in flight, so that rounding errors do not accumulate.
  tenant.threads_in_flight = --tenant.in_flight == 0 ? 0 : tenant.threads_in_flight - request.threads;
  threads_in_flight_ = in_flight_.empty() ? 0 : threads_in_flight_ - request.threads;
  cost_.record(request.tenant, request.query_class, request.reported_s, outcome.measured_work_s);
  queue_.correct(request.tenant, request.queue, outcome.actual_cost_s(request.cost) - request.cost);
  capacity_.on_request_finished(now, request.query_class, request.threads, request.cost, outcome,
                                queue_.size() > 0);
}

std::optional<QueuedDecision> Throttle::next_decision(Time now) {
  capacity_.tick(now, queue_.size() > 0);
  if (!evicted_.empty()) {
    const QueuedDecision evicted = evicted_.back();
    evicted_.pop_back();
    return evicted;
  }
  if (queue_.size() == 0) return std::nullopt;
  if (const auto ref = queue_.earliest_expiry(); queue_.at(ref).expiry <= now) return reject_queued(now, ref);
  const auto entry =
      queue_.pop([this](std::size_t tenant, double threads) { return may_pass(tenant, threads); });
  if (!entry) return std::nullopt;
  const auto it = queued_.find(entry->query);
  add_in_flight(now, entry->query,
                {entry->tenant, entry->queue, it->second.query_class, it->second.reported_s, entry->cost,
                 entry->threads, now});
  queued_.erase(it);
  return QueuedDecision{entry->query, {Decision::admit, {}, entry->cost}};
}

Time Throttle::next_due(Time now) const {
  if (!evicted_.empty()) return now;
  if (queue_.size() == 0) return Time::max();
  return std::min(queue_.at(queue_.earliest_expiry()).expiry, now + kTickInterval);
}

Metrics Throttle::metrics() const {
  Metrics metrics = metrics_;
  metrics.queue_length = queue_.size();
  metrics.in_flight = in_flight_.size();
  metrics.reservations = reservations_.size();
  metrics.concurrency_limit = capacity_.concurrency_limit();
  metrics.threads_in_flight = threads_in_flight_;
  metrics.drain_rate = capacity_.drain_rate();
  metrics.stretch = capacity_.stretch();
  return metrics;
}

}  // namespace yokestream::throttle
