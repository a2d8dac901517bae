// The admission stages in front of the decision module, where they are switched on: the throttle (per-tenant
// fair admission), then the scheduler (budgets, priorities, wait forecasts).
//
// Owns both stages and the time of their next log line. Decides nothing about requests and calls no port: a
// stage returns its verdict, and RequestAdmission carries it out. What waits in a stage has not been
// submitted to the decision module, so nothing of it can have run. Each stage is notified once of the end of
// every request that it admitted or queued. One thread.
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

  // Settings that a reload may change; ignored where the stage is off.
  void configure_throttle(const throttle::Settings& settings);
  void configure_scheduler(Time now, const scheduler::Settings& settings);
  void set_cores(Time now, double cores);  // this manager's part of the engines

  // has_throttle() only. `origin`: the client's address as a number.
  throttle::Admission offer_to_throttle(Time now, policy::QueryId query, const RequestReceived& request,
                                        std::uint64_t origin);
  // has_scheduler() only. `cost_s`: core seconds by the throttle's estimate; 0: none.
  scheduler::Verdict offer_to_scheduler(Time now, policy::QueryId query, const RequestReceived& request,
                                        double cost_s);
  scheduler::Quote quote(Time now, const RequestReceived& request);  // has_scheduler() only
  // The next waiting request that is admitted or rejected; nullopt: none is.
  std::optional<throttle::QueuedDecision> next_from_throttle(Time now);
  std::optional<scheduler::Moved> next_from_scheduler(Time now);
  Time next_due(Time now) const;  // Time::max(): neither stage waits for a time

  // The priority band with which an attempt starts.
  std::uint32_t on_attempt_started(Time now, policy::QueryId query, const std::string& engine,
                                   std::uint32_t requested_priority);
  void on_attempt_ended(policy::QueryId query);
  // The band that the engine is to be notified of; nullopt: it stays.
  std::optional<std::uint32_t> on_priority_requested(Time now, policy::QueryId query, std::uint32_t priority);
  std::optional<scheduler::Bands::Change> next_band_change(Time now);
  void on_request_finished(Time now, policy::QueryId query, const throttle::Outcome& outcome);

  std::optional<throttle::Metrics> throttle_metrics() const;
  std::optional<scheduler::Figures> scheduler_metrics() const;
  // Writes the stages' metrics to the log, every 10 s at most, while requests wait or are rejected.
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
