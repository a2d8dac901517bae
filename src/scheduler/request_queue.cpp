#include "scheduler/request_queue.h"

#include <algorithm>

namespace yokestream::scheduler {

Time due_time(Time arrived, unsigned level, Duration ageing_step, Time soft_deadline, Duration service_time) {
  const unsigned levels_below_top =
      static_cast<unsigned>(kServiceLevels - 1) - std::min<unsigned>(level, kServiceLevels - 1);
  return std::min(arrived + levels_below_top * ageing_step, std::max(arrived, soft_deadline - service_time));
}

double aged_priority(Time now, Time due, Duration ageing_step) {
  return std::chrono::duration<double>(now - due) / std::chrono::duration<double>(ageing_step);
}

void WorkByDueTime::add(Time due, double work) {
  total_ += work;
  for (std::size_t i = slot(due) + 1; i <= kSlots; i += i & (~i + 1)) tree_[i] += work;
}

double WorkByDueTime::prefix_sum(std::size_t slots) const {
  double sum = 0;
  for (std::size_t i = slots; i > 0; i -= i & (~i + 1)) sum += tree_[i];
  return sum;
}

// The ring wraps around half a ring before `due`, so that both long overdue slots and later slots are on the
// correct side.
double WorkByDueTime::before(Time due) const {
  const std::size_t end = slot(due), start = (end + kSlots / 2) % kSlots;
  const double sum =
      start <= end ? prefix_sum(end) - prefix_sum(start) : total_ - prefix_sum(start) + prefix_sum(end);
  return std::max(0.0, sum);
}

RequestQueue::RequestQueue(std::size_t teams, std::size_t max_entries, Duration horizon)
    : entries_(max_entries) {
  free_refs_.reserve(max_entries);
  for (std::size_t i = max_entries; i-- > 0;) free_refs_.push_back(static_cast<EntryRef>(i));
  reset_teams(teams, horizon);
}

void RequestQueue::reset_teams(std::size_t teams, Duration horizon) {
  team_queues_.clear();
  for (std::size_t i = 0; i < teams; ++i) team_queues_.emplace_back(&pool_, horizon);
}

double RequestQueue::work_before(std::size_t team, Time due) const {
  return team_queues_[team].work.before(due);
}

EntryRef RequestQueue::push(const Entry& entry) {
  const EntryRef ref = free_refs_.back();
  free_refs_.pop_back();
  entries_[ref] = entry;
  team_queues_[entry.team].by_due.emplace(entry.due, ref);
  team_queues_[entry.team].work.add(entry.due, entry.cost);
  by_expiry_.emplace(entry.expires, ref);
  return ref;
}

Entry RequestQueue::remove(EntryRef ref) {
  const Entry entry = entries_[ref];
  team_queues_[entry.team].by_due.erase({entry.due, ref});
  team_queues_[entry.team].work.add(entry.due, -entry.cost);
  by_expiry_.erase({entry.expires, ref});
  free_refs_.push_back(ref);
  return entry;
}

std::optional<EntryRef> RequestQueue::head(std::size_t team) const {
  const Order& order = team_queues_[team].by_due;
  return order.empty() ? std::nullopt : std::optional(order.begin()->second);
}
std::optional<EntryRef> RequestQueue::next_to_expire() const {
  return by_expiry_.empty() ? std::nullopt : std::optional(by_expiry_.begin()->second);
}

std::vector<Entry> RequestQueue::all() const {
  std::vector<Entry> out;
  for (const auto& [expires, ref] : by_expiry_) out.push_back(entries_[ref]);
  return out;
}

}  // namespace yokestream::scheduler
