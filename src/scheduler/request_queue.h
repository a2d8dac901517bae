// What waits, by team, in the order of virtual due times.
//
// Ageing. A request that arrives at a, of service level l (0 to 3), wanted by w and needing s, is due at
//   due = min(a + (3 - l) x age, max(a, w - s))
// and its priority at a time t is P(t) = (t - due) / age: it rises with waiting by one level an `age`, and it
// is the higher the nearer its wanted time is. All priorities rise at the same slope, so the order of two
// requests never changes while they wait, and the order by due time is the order by priority.
//
// No starvation within a team. Who arrives after a request's due time is due later than it: whatever comes,
// only what arrived before `due` can go before it. So it waits no longer than (due - a) plus the time in
// which its team is served what waited then: 3 ages + W / g, W the work of the team that waits at most, g
// what is certain for the team (accounts.h).
//
// Entries lie in one slab; sums of work by due time in rings of slots (Fenwick trees), so that the work
// before a newcomer is known without walking. Memory: kEntryBytes an entry that may wait, kSlots sums a team.
// Pure.
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
  Time arrived{}, due{}, expires{};                 // until: it has to go by then
  double estimated_wait_s = 0, raw_forecast_s = 0;  // its wait, seconds: median, and before correction
};

Time due_time(Time arrived, unsigned level, Duration ageing_step, Time soft_deadline, Duration service_time);
double aged_priority(Time now, Time due, Duration ageing_step);  // of what waits: see above

// Sums by due time, over a ring of slots.
class WorkByDueTime {
 public:
  static constexpr std::size_t kSlots = 4096;
  // A slot's width, at least: all that waits is due within `reach` of all that may be asked for.
  explicit WorkByDueTime(Duration horizon)
      : slot_width_(std::max<Duration>(kMinSlotWidth, 2 * horizon / (kSlots - 2))) {}
  void add(Time due, double work);
  // Of what is due before. Exact to a slot's work.
  double before(Time due) const;
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

  // `reach`: the most time between two due times of what waits or is asked for.
  RequestQueue(std::size_t teams, std::size_t max_entries, Duration horizon);
  void reset_teams(std::size_t teams, Duration horizon);  // while nothing waits

  bool full() const { return free_refs_.empty(); }
  std::size_t size() const { return entries_.size() - free_refs_.size(); }
  std::size_t count(std::size_t team) const { return team_queues_[team].by_due.size(); }
  double work(std::size_t team) const { return team_queues_[team].work.total(); }
  // Work that goes before one of the team that is due then.
  double work_before(std::size_t team, Time due) const;
  EntryRef push(const Entry& entry);  // not while full()
  Entry remove(EntryRef ref);
  const Entry& at(EntryRef ref) const { return entries_[ref]; }
  std::optional<EntryRef> head(std::size_t team) const;  // due first
  std::optional<EntryRef> next_to_expire() const;        // whose `until` is first
  std::vector<Entry> all() const;                        // in no order

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
