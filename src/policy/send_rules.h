// The rules that every send keeps, first or retry, and what may be answered to a query that is not sent.
//
// No component but this one keeps them: whatever chooses an engine asks may_send() first.
#pragma once

#include "engine_registry.h"
#include "ordered_keys.h"
#include "query.h"
#include "retry_budget.h"
#include "slow_start.h"

namespace yokestream::policy {

class SendRules {
 public:
  // All must outlive this.
  SendRules(const Settings& settings, const EngineRegistry& engines, const OrderedKeys& keys,
            const RetryBudget& retries, const SlowStart& slow_start)
      : settings_(settings), engines_(engines), keys_(keys), retries_(retries), slow_start_(slow_start) {}

  // Whether the query may be sent to this engine now. `work_s`: the larger of its own and its class's usual
  // work, which a warming engine has to bear. `manager_count`: that share the engines.
  bool may_send(const Query& query, const Engine& engine, double work_s, double manager_count,
                Time now) const;
  // Whether the class and the query's eligible engines permit this one, whatever its state.
  bool is_permitted(const Query& query, const EngineEntry& entry) const;
  // Whether the query is at the head of its order key.
  bool has_turn(const Query& query, Time now) const;
  // Whether nothing of it can have run twice if its client tries again elsewhere: it is rejected, not failed.
  bool may_reject(const Query& query) const;
  // Whether no further attempt can ever be allowed.
  bool out_of_attempts(const Query& query, Time now) const;
  // Whether an attempt may be cancelled to be sent again elsewhere.
  bool may_run_again(const Query& query, const Attempt& attempt, Time now) const;

 private:
  const ClassSettings& class_of(const Query& query) const {
    return settings_.classes[index_of(query.request.query_class)];
  }
  // Keyed queries: only engines that drop the duplicate, and only for as long as they remember it.
  bool deduplicates(const Query& query, const Engine& engine, Time now) const;

  const Settings& settings_;
  const EngineRegistry& engines_;
  const OrderedKeys& keys_;
  const RetryBudget& retries_;
  const SlowStart& slow_start_;
};

}  // namespace yokestream::policy
