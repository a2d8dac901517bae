// Handles arriving queries, clients that disconnect, and changes of the eligible engines.
#include <algorithm>
#include <stdexcept>

#include "controller_impl.h"

namespace yokestream::policy {

void AdmissionController::Impl::on(const QueryArrived& request) {
  if (index_of(request.query_class) >= settings_.classes.size())
    throw std::invalid_argument("invalid query: cls");
  if (!settings_.tenants.empty() && index_of(request.tenant) >= settings_.tenants.size())
    throw std::invalid_argument("invalid query: tenant");
  if (queries_.count(request.query)) return;
  const std::size_t class_index = index_of(request.query_class);
  Query query;
  query.request = request;
  query.deadline = now_ + request.time_left;
  query.work_s = workload_.observe_work(request, estimator_.class_bias(class_index));
  query.objective = workload_.observe_objective(request, query.work_s, now_);
  const double quota_share = std::max(load_share_.value(), 1.0 / load_share_.manager_count());
  query.over_quota = quotas_.exceeds_quota(request.tenant, now_, quota_share);
  workload_.observe_mean_work(query.work_s);
  workload_.observe_means(query, announcements_.is_unannounced(query.work_s, workload_.mean_work_s()));
  threshold_.record_arrival(workload_.cost_per_value(query));
  retries_.record_request(now_);
  if (class_of(query).ordered && request.order_key) keys_.append(*request.order_key, request.query);
  queue_.enqueue(queries_.emplace(request.query, std::move(query)).first->second);
}

void AdmissionController::Impl::on(const ClientDisconnected& event) {
  Query* query = find(event.query);
  if (!query) return;
  queue_.dequeue(*query);
  query->finished = true;
  if (query->attempts_in_flight > 0 && settings_.may_cancel) cancel_attempt(*query);
  erase_if_finished(event.query);
}

// An attempt in flight continues. A query without an eligible engine is rejected immediately, not queued.
void AdmissionController::Impl::on(const EligibilityChanged& event) {
  Query* query = find(event.query);
  if (!query) return;
  query->request.eligible_engines = event.eligible_engines;
  const bool none_eligible = event.eligible_engines && event.eligible_engines->none();
  if (query->finished || query->attempts_in_flight > 0 || !none_eligible) return;
  constexpr double kRetryAfterSeconds = 1;
  reject(*query, kRetryAfterSeconds);
  erase_if_finished(event.query);
}

// Keeps the query until its last attempt has ended as well, because the next query of its order key has to
// wait.
void AdmissionController::Impl::erase_if_finished(QueryId id) {
  const Query* query = find(id);
  if (!query || !query->finished || query->attempts_in_flight > 0) return;
  if (class_of(*query).ordered && query->request.order_key) keys_.remove(*query->request.order_key, id);
  queries_.erase(id);
}

}  // namespace yokestream::policy
