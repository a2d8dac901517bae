#include "scheduler/waiting.h"

#include <algorithm>

namespace yokestream::scheduler {

Time due_time(Time arrived, unsigned level, Duration age, Time wanted, Duration needs) {
  const unsigned below = static_cast<unsigned>(kLevels - 1) - std::min<unsigned>(level, kLevels - 1);
  return std::min(arrived + below * age, std::max(arrived, wanted - needs));
}

double priority(Time now, Time due, Duration age) {
  return std::chrono::duration<double>(now - due) / std::chrono::duration<double>(age);
}

void WorkByDue::add(Time due, double work) {
  all_ += work;
  for (std::size_t i = slot(due) + 1; i <= kSlots; i += i & (~i + 1)) tree_[i] += work;
}

double WorkByDue::prefix(std::size_t slots) const {
  double sum = 0;
  for (std::size_t i = slots; i > 0; i -= i & (~i + 1)) sum += tree_[i];
  return sum;
}

// The ring's seam lies half a ring before `due`, so that what has been due for long and what is due later
// both fall on their side of it.
double WorkByDue::before(Time due) const {
  const std::size_t end = slot(due), start = (end + kSlots / 2) % kSlots;
  const double sum = start <= end ? prefix(end) - prefix(start) : all_ - prefix(start) + prefix(end);
  return std::max(0.0, sum);
}

Waiting::Waiting(std::size_t count, std::size_t entries, Duration reach) : entries_(entries) {
  free_.reserve(entries);
  for (std::size_t i = entries; i-- > 0;) free_.push_back(static_cast<Ref>(i));
  teams(count, reach);
}

void Waiting::teams(std::size_t count, Duration reach) {
  lines_.clear();
  for (std::size_t i = 0; i < count; ++i) lines_.emplace_back(&pool_, reach);
}

double Waiting::before(std::size_t team, Time due) const { return lines_[team].work.before(due); }

Ref Waiting::push(const Entry& entry) {
  const Ref ref = free_.back();
  free_.pop_back();
  entries_[ref] = entry;
  lines_[entry.team].order.emplace(entry.due, ref);
  lines_[entry.team].work.add(entry.due, entry.cost);
  until_.emplace(entry.until, ref);
  return ref;
}

Entry Waiting::remove(Ref ref) {
  const Entry entry = entries_[ref];
  lines_[entry.team].order.erase({entry.due, ref});
  lines_[entry.team].work.add(entry.due, -entry.cost);
  until_.erase({entry.until, ref});
  free_.push_back(ref);
  return entry;
}

std::optional<Ref> Waiting::head(std::size_t team) const {
  const Order& order = lines_[team].order;
  return order.empty() ? std::nullopt : std::optional(order.begin()->second);
}
std::optional<Ref> Waiting::expiring() const {
  return until_.empty() ? std::nullopt : std::optional(until_.begin()->second);
}

std::vector<Entry> Waiting::all() const {
  std::vector<Entry> out;
  for (const auto& [until, ref] : until_) out.push_back(entries_[ref]);
  return out;
}

}  // namespace yokestream::scheduler
