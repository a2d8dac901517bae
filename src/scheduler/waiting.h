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

using Ref = std::uint32_t;

struct Entry {
  QueryId query{};
  std::uint32_t team = 0, cls = 0, member = 0;
  double told = 0, cost = 0, threads = 1;
  Time arrived{}, due{}, until{};  // until: it has to go by then
  double quoted = 0, raw = 0;      // its wait, seconds: median, and before correction
};

Time due_time(Time arrived, unsigned level, Duration age, Time wanted, Duration needs);
double priority(Time now, Time due, Duration age);  // of what waits: see above

// Sums by due time, over a ring of slots.
class WorkByDue {
 public:
  static constexpr std::size_t kSlots = 4096;
  // A slot's width, at least: all that waits is due within `reach` of all that may be asked for.
  explicit WorkByDue(Duration reach) : slot_(std::max<Duration>(kLeastSlot, 2 * reach / (kSlots - 2))) {}
  void add(Time due, double work);
  // Of what is due before. Exact to a slot's work.
  double before(Time due) const;
  double all() const { return all_; }
  Duration width() const { return slot_; }

 private:
  static constexpr Duration kLeastSlot = std::chrono::milliseconds(10);
  std::size_t slot(Time due) const {
    return static_cast<std::size_t>(due.time_since_epoch() / slot_) % kSlots;
  }
  double prefix(std::size_t slots) const;
  Duration slot_;
  std::vector<double> tree_ = std::vector<double>(kSlots + 1, 0.0);
  double all_ = 0;
};

class Waiting {
 public:
  static constexpr std::size_t kEntryBytes = sizeof(Entry) + 2 * 64;

  // `reach`: the most time between two due times of what waits or is asked for.
  Waiting(std::size_t teams, std::size_t entries, Duration reach);
  void teams(std::size_t teams, Duration reach);  // while nothing waits

  bool full() const { return free_.empty(); }
  std::size_t size() const { return entries_.size() - free_.size(); }
  std::size_t count(std::size_t team) const { return lines_[team].order.size(); }
  double work(std::size_t team) const { return lines_[team].work.all(); }
  // Work that goes before one of the team that is due then.
  double before(std::size_t team, Time due) const;
  Ref push(const Entry& entry);  // not while full()
  Entry remove(Ref ref);
  const Entry& at(Ref ref) const { return entries_[ref]; }
  std::optional<Ref> head(std::size_t team) const;  // due first
  std::optional<Ref> expiring() const;              // whose `until` is first
  std::vector<Entry> all() const;                   // in no order

 private:
  using Order = std::pmr::set<std::pair<Time, Ref>>;
  struct Line {
    Line(std::pmr::memory_resource* from, Duration reach) : order(from), work(reach) {}
    Order order;
    WorkByDue work;
  };
  std::pmr::unsynchronized_pool_resource pool_;
  std::vector<Entry> entries_;
  std::vector<Ref> free_;
  std::vector<Line> lines_;
  Order until_{&pool_};
};

}  // namespace yokestream::scheduler
