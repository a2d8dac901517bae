#include "standin/history.h"

#include <algorithm>

namespace yokestream::standin {

using coordination::LoadShare;

const std::string& DutyChecker::take(const StoreModel::Change& change) {
  const auto& kv = change.event.key_value;
  const bool put = change.event.kind == store::WatchEvent::Kind::put;
  if (kv.key.starts_with(names_.candidates(coordination::FleetMember::kLoadShareTask))) {
    if (put)
      line_.emplace(kv.key, kv.create_revision);
    else
      line_.erase(kv.key);
  } else if (kv.key.starts_with(names_.member())) {
    const std::string session = kv.key.substr(names_.member().size());
    if (put)
      living_[session] = known_[session] =
          coordination::decode_member_record(kv.value).value_or(coordination::MemberRecord{});
    else
      living_.erase(session);
  } else if (put && kv.key == names_.task_state(coordination::FleetMember::kLoadShareTask)) {
    state(change);
  }
  return broken_;
}

void DutyChecker::fail(const std::string& rule, const StoreModel::Change& change, const std::string& why) {
  if (broken_.empty()) broken_ = rule + " at revision " + std::to_string(change.revision) + ": " + why;
}

void DutyChecker::state(const StoreModel::Change& change) {
  const auto next = coordination::decode_load_share_table(change.event.key_value.value);
  if (!next) return;  // not by an owner of ours
  store::Revision oldest = 0;
  for (const auto& [key, create] : line_) oldest = oldest == 0 ? create : std::min(oldest, create);
  if (next->fencing_token != oldest)
    fail("S1", change,
         "written in term " + std::to_string(next->fencing_token) + ", the owner's is " +
             std::to_string(oldest));
  if (next->fencing_token < table_.fencing_token) fail("S1", change, "an older term after a newer one");
  if (next->epoch != table_.epoch + 1) fail("S1", change, "an epoch that does not follow");
  if (!coordination::LoadShareCalculator::acknowledged(table_, living_,
                                                       coordination::FleetMember::kLoadShareTask))
    fail("S3", change, "a living session has not acknowledged epoch " + std::to_string(table_.epoch));
  // While the table is taken up each may count on the larger of two parts. Only where it was too much before,
  // as sessions came beyond the count that is told, may it be so still, and no part grows then.
  LoadShare before = 0, both = 0;
  bool grows = false;
  for (const auto& [session, part] : next->shares) {
    const auto had = table_.shares.find(session);
    const LoadShare old = had == table_.shares.end() ? shares_.even_share() : had->second;
    before += old, both += std::max(old, part), grows = grows || part > old;
  }
  // One that ended between the owner's look and its write was counted, and keeps no more than it had.
  auto counted = living_;
  for (const auto& [session, part] : next->shares)
    if (const auto known = known_.find(session); known != known_.end()) counted.insert(*known);
  const LoadShare all = static_cast<LoadShare>(shares_.manager_count(counted)) * shares_.even_share();
  if (both > std::max(all, before) || (before > all && grows))
    fail("sum", change, "parts of " + std::to_string(both) + " in force, of " + std::to_string(all));
  table_ = *next;
}

}  // namespace yokestream::standin
