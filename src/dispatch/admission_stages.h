// The optional admission stages in front of the decision module: the throttle (fair admission per tenant),
// followed by the scheduler (budgets, priorities and wait forecasts).
//
// Owns both stages and the time of their next log line. It makes no decision about requests and calls no
// port: a stage returns its verdict, and RequestAdmission carries it out. A request that is queued in a stage
// has not been submitted to the decision module, so no engine can have run it. Each stage is notified exactly
// once when a request that it admitted or queued has finished. Not thread-safe.
#pragma once

#include <optional>
#include <string>

#include "config/config.h"
#include "dispatch/ports.h"
#include "scheduler/scheduler.h"
#include "throttle/throttle.h"

namespace yokestream::dispatch {

class AdmissionStages {
 public:
  AdmissionStages(const config::Config& config, Time now, Log& log);

  bool enabled() const { return throttle_ || scheduler_; }
  bool has_throttle() const { return throttle_.has_value(); }
  bool has_scheduler() const { return scheduler_.has_value(); }
  const scheduler::Scheduler* scheduler() const { return scheduler_ ? &*scheduler_ : nullptr; }

  // Apply the settings that a reload may change; no effect where the stage is disabled.
  void configure_throttle(const throttle::Settings& settings);
  void configure_scheduler(Time now, const scheduler::Settings& settings);
  void set_cores(Time now, double cores);  // this manager's share of the engines' cores

  // Requires has_throttle(). `origin` is the client's address as a number.
  throttle::Admission offer_to_throttle(Time now, policy::QueryId query, const RequestReceived& request,
                                        std::uint64_t origin);
  // Requires has_scheduler(). `cost_s` is the throttle's estimate in core seconds; 0 if there is none.
  scheduler::Verdict offer_to_scheduler(Time now, policy::QueryId query, const RequestReceived& request,
                                        double cost_s);
  scheduler::WaitEstimate quote(Time now, const RequestReceived& request);  // requires has_scheduler()
  // Returns the next queued request that the stage admits or rejects; nullopt if there is none.
  std::optional<throttle::QueuedDecision> next_from_throttle(Time now);
  std::optional<scheduler::QueueVerdict> next_from_scheduler(Time now);
  Time next_due(Time now) const;  // Time::max() if neither stage needs a timer

  // Returns the priority band in which the attempt starts.
  std::uint32_t on_attempt_started(Time now, policy::QueryId query, const std::string& engine,
                                   std::uint32_t requested_priority);
  void on_attempt_ended(policy::QueryId query);
  // Returns the band to send to the engine; nullopt if the band doesn't change.
  std::optional<std::uint32_t> on_priority_requested(Time now, policy::QueryId query, std::uint32_t priority);
  std::optional<scheduler::EnginePriorities::Change> next_band_change(Time now);
  void on_request_finished(Time now, policy::QueryId query, const throttle::Outcome& outcome);

  std::optional<throttle::Metrics> throttle_metrics() const;
  std::optional<scheduler::Metrics> scheduler_metrics() const;
  // Logs the metrics of a stage, at most once per 10 s, if requests were queued or rejected since the last
  // line.
  void log_metrics_if_due(Time now);

 private:
  const policy::ClassSettings& class_of(const RequestReceived& request) const;
  scheduler::Arrival scheduler_arrival(Time now, policy::QueryId query, const RequestReceived& request,
                                       double cost_s) const;
  void log_scheduler_metrics();
  void log_throttle_metrics();

  const config::Config& config_;
  Log& log_;
  std::optional<throttle::Throttle> throttle_;
  std::optional<scheduler::Scheduler> scheduler_;
  Time next_log_{};
  std::uint64_t logged_rejections_ = 0;
  std::uint64_t logged_waits_ = 0;
};

}  // namespace yokestream::dispatch
