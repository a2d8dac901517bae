#include "scheduler/engine_priorities.h"

#include <algorithm>

namespace yokestream::scheduler {

void EnginePriorities::configure(double demotion_factor, double max_changes_per_s) {
  demotion_factor_ = demotion_factor, max_changes_per_s_ = max_changes_per_s;
}

unsigned EnginePriorities::target_priority(Time now, Running& running) {
  const Duration run_time = now - running.started_at;
  if (!running.demoted && !running.attempt.is_load && running.attempt.expected_time > Duration{} &&
      run_time > std::chrono::duration_cast<Duration>(demotion_factor_ * running.attempt.expected_time))
    running.demoted = true, ++demoted_count_;
  if (running.demoted) return 0;
  int priority = static_cast<int>(running.attempt.requested);
  priority += running.attempt.level >= 3 ? 1 : running.attempt.level == 0 ? -1 : 0;
  const bool late = now > running.attempt.soft_deadline;
  priority +=
      !late && run_time < running.attempt.expected_time_p90 &&
      now + std::max(Duration{}, running.attempt.expected_time - run_time) > running.attempt.soft_deadline;
  priority -= running.attempt.borrowed && contended_;
  if (running.attempt.is_load) priority = std::max(priority, static_cast<int>(running.attempt.requested));
  return static_cast<unsigned>(std::clamp(priority, 0, 3));
}

unsigned EnginePriorities::on_attempt_started(Time now, QueryId query, const Attempt& attempt) {
  Running& running = running_[query] = Running{attempt, now, now, attempt.requested, false};
  if (scanned_at_ == Time{}) scanned_at_ = now;
  return running.priority = target_priority(now, running);
}

// kMinChangeInterval does not apply to requested priorities, the limit on messages does: a change over the
// limit is sent after a later scan.
std::optional<unsigned> EnginePriorities::on_priority_requested(Time now, QueryId query, unsigned requested) {
  const auto it = running_.find(query);
  if (it == running_.end()) return std::nullopt;
  Running& running = it->second;
  running.attempt.requested = requested;
  const unsigned priority = target_priority(now, running);
  if (priority == running.priority || !take_message_token(now, running.attempt.engine)) return std::nullopt;
  running.priority = priority, running.changed_at = now;
  return priority;
}

void EnginePriorities::update_contention(Time now, bool requests_wait) {
  if (!requests_wait) {
    contended_since_ = Time::max();
    if (uncontended_since_ == Time::max()) uncontended_since_ = now;
    if (now - uncontended_since_ >= kContentionOffDelay) contended_ = false;
    return;
  }
  uncontended_since_ = Time::max();
  if (contended_since_ == Time::max()) contended_since_ = now;
  if (now - contended_since_ >= kContentionOnDelay) contended_ = true;
}

bool EnginePriorities::take_message_token(Time now, const std::string& engine) {
  MessageBucket& bucket = buckets_.try_emplace(engine, MessageBucket{max_changes_per_s_, now}).first->second;
  const double elapsed_s = std::chrono::duration<double>(now - bucket.refilled_at).count();
  bucket.tokens = std::min(std::max(1.0, max_changes_per_s_), bucket.tokens + max_changes_per_s_ * elapsed_s);
  bucket.refilled_at = now;
  if (bucket.tokens < 1) return false;
  --bucket.tokens, ++sent_count_;
  return true;
}

std::optional<EnginePriorities::Change> EnginePriorities::next_change(Time now) {
  if (pending_changes_.empty() && now - scanned_at_ >= kScanInterval) {
    scanned_at_ = now;
    for (auto& [query, running] : running_) {
      const bool demoted = running.demoted;
      const unsigned priority = target_priority(now, running);
      if (priority == running.priority ||
          (running.demoted == demoted && !running.demoted && now - running.changed_at < kMinChangeInterval))
        continue;
      pending_changes_.push_back({query, priority, running.demoted && !running.demotion_sent});
    }
    // Changes are taken from the back, so demotions are sent first.
    std::stable_partition(pending_changes_.begin(), pending_changes_.end(),
                          [](const Change& c) { return c.priority > 0; });
    std::erase_if(buckets_, [&](const auto& entry) {
      return now - entry.second.refilled_at > std::chrono::seconds(60);
    });
  }
  while (!pending_changes_.empty()) {
    const Change change = pending_changes_.back();
    pending_changes_.pop_back();
    const auto it = running_.find(change.query);
    if (it == running_.end() || it->second.priority == change.priority) continue;
    if (!take_message_token(now, it->second.attempt.engine)) continue;  // the next scan finds it again
    it->second.priority = change.priority, it->second.changed_at = now;
    it->second.demotion_sent |= change.demotes;
    return change;
  }
  return std::nullopt;
}

}  // namespace yokestream::scheduler
