#include "standin/history.h"

#include <algorithm>

namespace yokestream::standin {

using coordination::Part;

const std::string& DutyChecker::take(const StoreModel::Change& change) {
  const auto& kv = change.event.now;
  const bool put = change.event.kind == store::WatchEvent::Kind::put;
  if (kv.key.starts_with(names_.line(coordination::Fleet::kDuty))) {
    if (put)
      line_.emplace(kv.key, kv.create);
    else
      line_.erase(kv.key);
  } else if (kv.key.starts_with(names_.alive())) {
    const std::string session = kv.key.substr(names_.alive().size());
    if (put)
      living_[session] = known_[session] = coordination::decode_fact(kv.value).value_or(coordination::Fact{});
    else
      living_.erase(session);
  } else if (put && kv.key == names_.state(coordination::Fleet::kDuty)) {
    state(change);
  }
  return broken_;
}

void DutyChecker::fail(const std::string& rule, const StoreModel::Change& change, const std::string& why) {
  if (broken_.empty()) broken_ = rule + " at revision " + std::to_string(change.revision) + ": " + why;
}

void DutyChecker::state(const StoreModel::Change& change) {
  const auto next = coordination::decode_table(change.event.now.value);
  if (!next) return;  // not by an owner of ours
  store::Revision oldest = 0;
  for (const auto& [key, create] : line_) oldest = oldest == 0 ? create : std::min(oldest, create);
  if (next->term != oldest)
    fail("S1", change,
         "written in term " + std::to_string(next->term) + ", the owner's is " + std::to_string(oldest));
  if (next->term < table_.term) fail("S1", change, "an older term after a newer one");
  if (next->epoch != table_.epoch + 1) fail("S1", change, "an epoch that does not follow");
  if (!coordination::Shares::acknowledged(table_, living_, coordination::Fleet::kDuty))
    fail("S3", change, "a living session has not acknowledged epoch " + std::to_string(table_.epoch));
  // While the table is taken up each may count on the larger of two parts. Only where it was too much before,
  // as sessions came beyond the count that is told, may it be so still, and no part grows then.
  Part before = 0, both = 0;
  bool grows = false;
  for (const auto& [session, part] : next->parts) {
    const auto had = table_.parts.find(session);
    const Part old = had == table_.parts.end() ? shares_.even() : had->second;
    before += old, both += std::max(old, part), grows = grows || part > old;
  }
  // One that ended between the owner's look and its write was counted, and keeps no more than it had.
  auto counted = living_;
  for (const auto& [session, part] : next->parts)
    if (const auto known = known_.find(session); known != known_.end()) counted.insert(*known);
  const Part all = static_cast<Part>(shares_.managers(counted)) * shares_.even();
  if (both > std::max(all, before) || (before > all && grows))
    fail("sum", change, "parts of " + std::to_string(both) + " in force, of " + std::to_string(all));
  table_ = *next;
}

}  // namespace yokestream::standin
