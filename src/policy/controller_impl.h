// Combines the components of the decision module: handles events, consults the components, emits actions.
//
// The usual path of a query: its time on each engine is predicted from the queries that this manager runs
// there (LatencyEstimator), the engine with the shortest time is chosen (EngineSelector), and the query is
// sent if that time fits its remaining time, or else rejected (placement.cpp). Under pressure a bound on
// running threads (ConcurrencyBound) makes queries wait; they leave the queue earliest deadline first.
//
// Each component alone changes its own state. This class owns the queries, the actions and the order of
// steps.
#pragma once

#include <map>
#include <vector>

#include "admission_threshold.h"
#include "announcements.h"
#include "attempt_watchdog.h"
#include "engine_capacity.h"
#include "engine_registry.h"
#include "engine_selector.h"
#include "ordered_keys.h"
#include "peer_messages.h"
#include "retry_budget.h"
#include "send_rules.h"
#include "stall_detector.h"
#include "tenant_quotas.h"
#include "wait_queue.h"
#include "yokestream/policy/admission_controller.h"

namespace yokestream::policy {

// Throws std::invalid_argument, with the name of the setting, if the settings are invalid.
void check(const Settings& settings);
// Whether the snapshot has the sizes of the settings and all its numbers are valid.
bool is_compatible(const LearnedState& state, const Settings& settings);

class AdmissionController::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed, Time now);

  // Documented in admission_controller.h.
  void handle(Time now, const Event& event, std::vector<Action>& actions);
  std::size_t unavailable_engines() const;
  LearnedState learned_state() const;
  bool restore(const LearnedState& state, Duration age);
  void set_manager_count(double manager_count);

 private:
  // Tokens of the controller's timers.
  static constexpr std::uint64_t kTickTimer = 0;
  static constexpr std::uint64_t kWatchListTimer = 1;
  // Whether queries behind the one just considered may still be sent, or have to wait for capacity with it.
  enum class Placement { queue_continues, queue_blocked };

  // Events of queries (query_events.cpp).
  void on(const QueryArrived& request);
  void on(const ClientDisconnected& event);
  void on(const EligibilityChanged& event);
  void erase_if_finished(QueryId id);

  // Events of attempts (attempt_events.cpp).
  void on(const AttemptEnded& event);
  void on(const AttemptProgress& event);
  void on(const ResponseStarted& event);
  void release_engine(const Query& query, const Attempt& attempt, Engine& engine, Outcome outcome);
  void record_outcome(Query& query, const Attempt& attempt, Engine& engine, const AttemptEnded& event);
  void record_served(const Query& query, const Attempt& attempt, Engine& engine, const AttemptEnded& event);
  void learn(const Query& query, const Attempt& attempt, Engine& engine, double elapsed_s);
  void record_possible_execution(Query& query, const Attempt& attempt, Outcome outcome);
  void cancel_attempt(Query& query);
  void announce_begin(const Query& query, Attempt& attempt, const Engine& engine);
  void announce_end(const Attempt& attempt, const Engine& engine);

  // Events of engines, peers and time (engine_events.cpp).
  void on(const EngineList& list);
  void on(const ProbeEnded& event);
  void on(const PeerMessage& message);
  void on(const TimerFired& timer);
  void apply(const EngineEntry& entry);
  Engine& add_engine(const EngineEntry& entry);
  void restore_engine(Engine& engine, const LearnedState::Engine& known);
  void refresh_engines();
  void check_silent_engines();
  void cancel_stuck_attempts(const Engine& engine);
  void send_probe(Engine& engine);
  void read_report(Engine& engine, const std::vector<double>& report);

  // Placement (placement.cpp).
  void place_queued(bool on_tick);
  Placement place(Query& query, bool may_send);
  Placement place_by_choice(Query& query, const EngineChoice& choice, bool may_send);
  bool wins_capacity_draw(const Query& query, const EngineChoice& choice);
  void send(Query& query, Engine& engine, double estimate_s);
  void reject(Query& query, double retry_after_s);
  double time_limit_s(const Query& query, const Engine& engine, bool under_pressure) const;
  std::uint32_t priority_of(const Query& query) const;

  const ClassSettings& class_of(const Query& query) const {
    return settings_.classes[index_of(query.request.query_class)];
  }
  ConcurrencyBound::Pool pool() const { return {total_cores_, load_share_.value()}; }
  Query* find(QueryId id);
  // Constructs the action in place: moving a temporary variant makes g++ warn about inactive alternatives.
  template <class A>
  void emit(A action) {
    actions_->emplace_back(std::in_place_type<A>, std::move(action));
  }

  const Settings settings_;
  RandomSource random_;
  Time now_;
  std::vector<Action>* actions_ = nullptr;  // output of the current handle() call
  StallDetector stall_;

  // State.
  std::map<QueryId, Query> queries_;
  WaitQueue queue_;
  OrderedKeys keys_;
  EngineRegistry engines_;
  double total_cores_ = 0;      // of all engines that are up, scaled by their warm fractions
  double running_threads_ = 0;  // of this manager's queries, on all engines
  std::map<std::string, LearnedState::Engine> restored_engines_;  // not in the engine list yet
  Time restored_at_{};                                            // when the snapshot was taken

  // Components, each with its own state.
  LoadShare load_share_;
  WorkloadStatistics workload_;
  LatencyEstimator estimator_;
  CongestionTracker congestion_;
  ConcurrencyBound bound_;
  OutlierDetector outliers_;
  SlowStart slow_start_;
  PeerLoad peer_load_;
  Announcements announcements_;
  RetryBudget retries_;
  TenantQuotas quotas_;
  AdmissionThreshold threshold_;
  // These read the components above.
  SendRules rules_;
  EngineCapacity capacity_;
  EngineSelector selector_;
  AttemptWatchdog watchdog_;
};

}  // namespace yokestream::policy
