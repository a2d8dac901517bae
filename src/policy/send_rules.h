// The rules that every send must satisfy, first attempt or retry, and which answers a query that is not sent
// may get.
//
// Only this component enforces them: code that chooses an engine must call may_send() first.
#pragma once

#include "engine_registry.h"
#include "ordered_keys.h"
#include "query.h"
#include "retry_budget.h"
#include "slow_start.h"

namespace yokestream::policy {

class SendRules {
 public:
  // All arguments must outlive this object.
  SendRules(const Settings& settings, const EngineRegistry& engines, const OrderedKeys& keys,
            const RetryBudget& retries, const SlowStart& slow_start)
      : settings_(settings), engines_(engines), keys_(keys), retries_(retries), slow_start_(slow_start) {}

  // Whether the query may be sent to this engine now. `work_s`: the larger of the query's work and the usual
  // work of its class, charged to the budget of a warming engine. `manager_count`: managers that share the
  // engines.
  bool may_send(const Query& query, const Engine& engine, double work_s, double manager_count,
                Time now) const;
  // How long a permitted send stays permitted: a keyed query that may have run must reach an engine within
  // its deduplication window. 0: no limit.
  Duration valid_for(const Query& query, Time now) const;
  // Whether the query's class and its eligible engines permit this engine, regardless of its state.
  bool is_permitted(const Query& query, const EngineEntry& entry) const;
  // Whether no earlier query of the same order key has to run first.
  bool is_next_for_order_key(const Query& query, Time now) const;
  // Whether the query may be rejected rather than failed, because a retry by the client is safe.
  bool may_reject(const Query& query) const;
  // Whether no further attempt will ever be allowed.
  bool out_of_attempts(const Query& query, Time now) const;
  // Whether the attempt may be cancelled and the query sent to another engine.
  bool may_run_again(const Query& query, const Attempt& attempt, Time now) const;

 private:
  const ClassSettings& class_of(const Query& query) const {
    return settings_.classes[index_of(query.request.query_class)];
  }
  // Whether the engine would drop this keyed query as a duplicate of an earlier attempt: it must be within
  // the deduplication scope, and the deduplication window must not have elapsed.
  bool deduplicates(const Query& query, const Engine& engine, Time now) const;

  const Settings& settings_;
  const EngineRegistry& engines_;
  const OrderedKeys& keys_;
  const RetryBudget& retries_;
  const SlowStart& slow_start_;
};

}  // namespace yokestream::policy
