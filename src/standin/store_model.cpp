#include "standin/store_model.h"

#include <algorithm>
#include <utility>

namespace yokestream::standin {

using store::Completed;
using store::KeyValue;
using store::Revision;

StoreAnswer StoreModel::handle(Time now, const store::Request& request) {
  expire(now);
  auto answer = std::visit([&](const auto& r) { return on(now, r); }, request);
  answer.done.revision = revision_;
  return answer;
}

Time StoreModel::next_expiry() const { return ends_.empty() ? Time::max() : ends_.begin()->first; }

void StoreModel::expire(Time now) {
  while (next_expiry() <= now) end(now, ends_.begin()->second);
}

void StoreModel::lasts(Time ends, store::LeaseId id) {
  Lease& lease = leases_[id];
  ends_.erase({lease.ends, id});
  lease.ends = ends;
  ends_.insert({ends, id});
}

// All keys of a lease go in one revision.
void StoreModel::end(Time now, store::LeaseId lease) {
  const auto it = leases_.find(lease);
  const auto gone = std::move(it->second.keys);
  ends_.erase({it->second.ends, lease});
  leases_.erase(it);
  if (gone.empty()) return;
  ++revision_;
  for (const auto& key : gone) remove(now, {key, {}}, revision_);
}

bool StoreModel::within(const std::string& key, const std::string& from, const std::string& end) const {
  if (end.empty()) return key == from;
  return key >= from && (end == std::string(1, '\0') || key < end);
}

bool StoreModel::holds(const store::Compare& c) const {
  const auto it = keys_.find(c.key);
  const KeyValue absent;
  const KeyValue& kv = it == keys_.end() ? absent : it->second;
  if (c.target == store::Compare::Target::create_revision) return kv.create_revision == c.revision;
  if (c.target == store::Compare::Target::mod_revision) return kv.mod_revision == c.revision;
  return it != keys_.end() && kv.value == c.value;
}

void StoreModel::unhang(const KeyValue& kv) {
  if (const auto lease = leases_.find(kv.lease); lease != leases_.end()) lease->second.keys.erase(kv.key);
}

void StoreModel::note(Change change) {
  by_key_[change.event.key_value.key].push_back(history_.size());
  history_.push_back(std::move(change));
}

void StoreModel::put(Time now, const store::Put& put, Revision at) {
  KeyValue& kv = keys_[put.key];
  unhang(kv);
  if (kv.create_revision == 0) kv.create_revision = at, kv.key = put.key;
  kv.mod_revision = at, kv.value = put.value, kv.lease = put.lease, ++kv.version;
  if (put.lease != store::LeaseId::none) leases_[put.lease].keys.insert(put.key);
  note({at, now, {store::WatchEvent::Kind::put, kv}});
}

bool StoreModel::remove(Time now, const store::Delete& del, Revision at) {
  bool any = false;
  for (auto it = keys_.lower_bound(del.key); it != keys_.end() && within(it->first, del.key, del.end);) {
    KeyValue gone;
    gone.key = it->first, gone.mod_revision = at;
    note({at, now, {store::WatchEvent::Kind::removed, gone}});
    unhang(it->second);
    it = keys_.erase(it);
    any = true;
  }
  return any;
}

StoreAnswer StoreModel::on(Time now, const store::Txn& txn) {
  StoreAnswer out;
  out.done.succeeded =
      std::all_of(txn.compares.begin(), txn.compares.end(), [&](const auto& c) { return holds(c); });
  const auto& ops = out.done.succeeded ? txn.on_success : txn.on_failure;
  for (const auto& op : ops) {
    const auto* put = std::get_if<store::Put>(&op);
    if (put && put->lease != store::LeaseId::none && !leases_.count(put->lease))
      return {kNotFound, "etcdserver: requested lease not found", {}};
  }
  const Revision at = revision_ + 1;
  bool changed = false;
  for (const auto& op : ops) {
    if (const auto* p = std::get_if<store::Put>(&op)) put(now, *p, at), changed = true;
    if (const auto* d = std::get_if<store::Delete>(&op)) changed = remove(now, *d, at) || changed;
    if (const auto* r = std::get_if<store::Range>(&op)) out.done.ranges.push_back({range(*r)});
  }
  if (changed) revision_ = at;
  return out;
}

StoreAnswer StoreModel::on(Time, const store::Range& asked) {
  if (asked.revision > 0 && asked.revision < compacted_)
    return {kOutOfRange, "etcdserver: mvcc: required revision has been compacted", {}};
  if (asked.revision > revision_)
    return {kOutOfRange, "etcdserver: mvcc: required revision is a future revision", {}};
  StoreAnswer out;
  out.done.ranges.push_back({range(asked)});
  return out;
}

StoreAnswer StoreModel::on(Time now, const store::GrantLease& grant) {
  StoreAnswer out;
  out.done.lease = store::LeaseId(++last_lease_);
  out.done.ttl_s = std::max<std::int64_t>(1, grant.ttl_s);
  leases_[out.done.lease].ttl_s = out.done.ttl_s;
  lasts(now + std::chrono::seconds(out.done.ttl_s), out.done.lease);
  return out;
}

StoreAnswer StoreModel::on(Time now, const store::KeepLeaseAlive& keep) {
  StoreAnswer out;
  out.done.lease = keep.lease;
  const auto it = leases_.find(keep.lease);
  if (it == leases_.end()) return out;  // a time to live of 0: it is gone
  lasts(now + std::chrono::seconds(it->second.ttl_s), keep.lease);
  out.done.ttl_s = it->second.ttl_s;
  return out;
}

StoreAnswer StoreModel::on(Time now, const store::RevokeLease& revoke) {
  if (!leases_.count(revoke.lease)) return {kNotFound, "etcdserver: requested lease not found", {}};
  end(now, revoke.lease);
  return {};
}

std::vector<KeyValue> StoreModel::range(const store::Range& asked) const {
  const auto select = [&](const std::map<std::string, KeyValue>& keys) {
    std::vector<KeyValue> out;
    for (auto it = keys.lower_bound(asked.key); it != keys.end() && within(it->first, asked.key, asked.end);
         ++it)
      out.push_back(it->second);
    return out;
  };
  if (asked.revision == 0 || asked.revision >= revision_) return select(keys_);
  std::map<std::string, KeyValue> then;
  for (const auto& change : history_) {
    if (change.revision > asked.revision) break;
    if (change.event.kind == store::WatchEvent::Kind::put)
      then[change.event.key_value.key] = change.event.key_value;
    else
      then.erase(change.event.key_value.key);
  }
  return select(then);
}

StoreAnswer StoreModel::check(const store::WatchRequest& watch) const {
  if (watch.start_revision > 0 && watch.start_revision <= compacted_)
    return {kOutOfRange, "etcdserver: mvcc: required revision has been compacted", {}};
  return {};
}

std::vector<std::pair<Revision, store::WatchEvent>> StoreModel::events(
    const store::WatchRequest& watch) const {
  std::vector<std::pair<Revision, store::WatchEvent>> out;
  if (watch.end.empty()) {  // one key
    const auto of_key = by_key_.find(watch.key);
    if (of_key == by_key_.end()) return out;
    const auto& at = of_key->second;
    const auto after = [&](std::size_t i, Revision r) { return history_[i].revision < r; };
    for (auto it = std::lower_bound(at.begin(), at.end(), watch.start_revision, after); it != at.end(); ++it)
      out.emplace_back(history_[*it].revision, history_[*it].event);
    return out;
  }
  const auto first = std::lower_bound(history_.begin(), history_.end(), watch.start_revision,
                                      [](const Change& c, Revision r) { return c.revision < r; });
  for (auto it = first; it != history_.end(); ++it)
    if (within(it->event.key_value.key, watch.key, watch.end)) out.emplace_back(it->revision, it->event);
  return out;
}

}  // namespace yokestream::standin
