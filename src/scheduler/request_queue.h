// Queued requests, by team, in the order of their due times.
//
// Ageing. A request that arrives at time a with service level l (0 to 3), soft deadline d and expected
// service time s is due at
//   due = min(a + (3 - l) * ageing_step, max(a, d - s))
// and its priority at time t is (t - due) / ageing_step. It rises by one level per ageing step of waiting and
// is higher the nearer the soft deadline is. All priorities rise at the same rate, so the order of two
// requests never changes while they wait, and the order by due time is the order by priority.
//
// No starvation within a team. A request that arrives after another one's due time is due later than that, so
// only requests that arrived before `due` can go before it. Its wait is at most (due - a) plus the time to
// serve what the team had queued then: 3 ageing steps + W / g, where W is the team's largest queued work and
// g its guaranteed rate (budget_accounts.h).
//
// Entries are kept in one preallocated array. Fenwick trees over rings of time slots hold the sums of work by
// due time, so that the work ahead of a new request is known without a pass over the queue. Memory:
// kEntryBytes per entry, kSlots sums per team. Pure.
#pragma once

#include <algorithm>
#include <cstdint>
#include <memory_resource>
#include <optional>
#include <set>
#include <vector>

#include "scheduler/settings.h"

namespace yokestream::scheduler {

using EntryRef = std::uint32_t;

struct Entry {
  QueryId query{};
  std::uint32_t team = 0, cls = 0, tenant = 0;
  double estimated_work_s = 0, cost = 0, threads = 1;
  Time arrived{}, due{}, expires{};                 // rejected if still queued when it expires
  double estimated_wait_s = 0, raw_forecast_s = 0;  // median wait after and before bias correction
};

Time due_time(Time arrived, unsigned level, Duration ageing_step, Time soft_deadline, Duration service_time);
double aged_priority(Time now, Time due, Duration ageing_step);

// Sums of work by due time, over a ring of time slots.
class WorkByDueTime {
 public:
  static constexpr std::size_t kSlots = 4096;
  // `horizon`: the largest distance between any two due times that are queued or asked for.
  explicit WorkByDueTime(Duration horizon)
      : slot_width_(std::max<Duration>(kMinSlotWidth, 2 * horizon / (kSlots - 2))) {}
  void add(Time due, double work);
  double before(Time due) const;  // work due earlier; accurate to the work of one slot
  double total() const { return total_; }
  Duration slot_width() const { return slot_width_; }

 private:
  static constexpr Duration kMinSlotWidth = std::chrono::milliseconds(10);
  std::size_t slot(Time due) const {
    return static_cast<std::size_t>(due.time_since_epoch() / slot_width_) % kSlots;
  }
  double prefix_sum(std::size_t slots) const;
  Duration slot_width_;
  std::vector<double> tree_ = std::vector<double>(kSlots + 1, 0.0);
  double total_ = 0;
};

class RequestQueue {
 public:
  static constexpr std::size_t kEntryBytes = sizeof(Entry) + 2 * 64;

  // `horizon`: as in WorkByDueTime.
  RequestQueue(std::size_t teams, std::size_t max_entries, Duration horizon);
  void reset_teams(std::size_t teams, Duration horizon);  // only while the queue is empty

  bool full() const { return free_refs_.empty(); }
  std::size_t size() const { return entries_.size() - free_refs_.size(); }
  std::size_t count(std::size_t team) const { return team_queues_[team].by_due.size(); }
  double work(std::size_t team) const { return team_queues_[team].work.total(); }
  double work_before(std::size_t team, Time due) const;  // of the team's requests due earlier
  EntryRef push(const Entry& entry);                     // only if not full()
  Entry remove(EntryRef ref);
  const Entry& at(EntryRef ref) const { return entries_[ref]; }
  std::optional<EntryRef> head(std::size_t team) const;  // the team's entry that is due first
  std::optional<EntryRef> next_to_expire() const;
  std::vector<Entry> all() const;

 private:
  using Order = std::pmr::set<std::pair<Time, EntryRef>>;
  struct TeamQueue {
    TeamQueue(std::pmr::memory_resource* resource, Duration horizon) : by_due(resource), work(horizon) {}
    Order by_due;
    WorkByDueTime work;
  };
  std::pmr::unsynchronized_pool_resource pool_;
  std::vector<Entry> entries_;
  std::vector<EntryRef> free_refs_;
  std::vector<TeamQueue> team_queues_;
  Order by_expiry_{&pool_};
};

}  // namespace yokestream::scheduler
