#include "standin/store_model.h"

#include <algorithm>

namespace yokestream::standin {

using store::Done;
using store::KeyValue;
using store::Revision;

StoreAnswer StoreModel::handle(Time now, const store::Request& request) {
  expire(now);
  auto answer = std::visit([&](const auto& r) { return on(now, r); }, request);
  answer.done.revision = revision_;
  return answer;
}

Time StoreModel::next_expiry() const {
  Time next = Time::max();
  for (const auto& [id, lease] : leases_) next = std::min(next, lease.ends);
  return next;
}

void StoreModel::expire(Time now) {
  for (auto it = leases_.begin(); it != leases_.end();) {
    const auto lease = it++;
    if (lease->second.ends <= now) end(now, lease->first);
  }
}

// All keys of a lease go in one revision.
void StoreModel::end(Time now, store::LeaseId lease) {
  leases_.erase(lease);
  std::vector<std::string> gone;
  for (const auto& [key, kv] : keys_)
    if (kv.lease == lease) gone.push_back(key);
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
  if (c.what == store::Compare::What::create) return kv.create == c.revision;
  if (c.what == store::Compare::What::mod) return kv.mod == c.revision;
  return it != keys_.end() && kv.value == c.value;
}

void StoreModel::put(Time now, const store::Put& put, Revision at) {
  KeyValue& kv = keys_[put.key];
  if (kv.create == 0) kv.create = at, kv.key = put.key;
  kv.mod = at, kv.value = put.value, kv.lease = put.lease, ++kv.version;
  history_.push_back({at, now, {store::WatchEvent::Kind::put, kv}});
}

bool StoreModel::remove(Time now, const store::Delete& del, Revision at) {
  bool any = false;
  for (auto it = keys_.begin(); it != keys_.end();) {
    if (!within(it->first, del.key, del.end)) {
      ++it;
      continue;
    }
    KeyValue gone;
    gone.key = it->first, gone.mod = at;
    history_.push_back({at, now, {store::WatchEvent::Kind::removed, gone}});
    it = keys_.erase(it);
    any = true;
  }
  return any;
}

StoreAnswer StoreModel::on(Time now, const store::Txn& txn) {
  StoreAnswer out;
  out.done.succeeded = std::all_of(txn.when.begin(), txn.when.end(), [&](const auto& c) { return holds(c); });
  const auto& ops = out.done.succeeded ? txn.then : txn.otherwise;
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
  if (asked.at > 0 && asked.at < compacted_)
    return {kOutOfRange, "etcdserver: mvcc: required revision has been compacted", {}};
  if (asked.at > revision_)
    return {kOutOfRange, "etcdserver: mvcc: required revision is a future revision", {}};
  StoreAnswer out;
  out.done.ranges.push_back({range(asked)});
  return out;
}

StoreAnswer StoreModel::on(Time now, const store::Grant& grant) {
  StoreAnswer out;
  out.done.lease = store::LeaseId(++last_lease_);
  out.done.ttl_s = std::max<std::int64_t>(1, grant.ttl_s);
  leases_[out.done.lease] = {out.done.ttl_s, now + std::chrono::seconds(out.done.ttl_s)};
  return out;
}

StoreAnswer StoreModel::on(Time now, const store::KeepAlive& keep) {
  StoreAnswer out;
  out.done.lease = keep.lease;
  const auto it = leases_.find(keep.lease);
  if (it == leases_.end()) return out;  // a time to live of 0: it is gone
  it->second.ends = now + std::chrono::seconds(it->second.ttl_s);
  out.done.ttl_s = it->second.ttl_s;
  return out;
}

StoreAnswer StoreModel::on(Time now, const store::Revoke& revoke) {
  if (!leases_.count(revoke.lease)) return {kNotFound, "etcdserver: requested lease not found", {}};
  end(now, revoke.lease);
  return {};
}

std::vector<KeyValue> StoreModel::range(const store::Range& asked) const {
  std::map<std::string, KeyValue> then;
  if (asked.at == 0 || asked.at >= revision_) {
    then = keys_;
  } else {
    for (const auto& change : history_) {
      if (change.revision > asked.at) break;
      if (change.event.kind == store::WatchEvent::Kind::put)
        then[change.event.now.key] = change.event.now;
      else
        then.erase(change.event.now.key);
    }
  }
  std::vector<KeyValue> out;
  for (const auto& [key, kv] : then)
    if (within(key, asked.key, asked.end)) out.push_back(kv);
  return out;
}

StoreAnswer StoreModel::check(const store::Watch& watch) const {
  if (watch.from > 0 && watch.from <= compacted_)
    return {kOutOfRange, "etcdserver: mvcc: required revision has been compacted", {}};
  return {};
}

std::vector<std::pair<Revision, store::WatchEvent>> StoreModel::events(const store::Watch& watch) const {
  std::vector<std::pair<Revision, store::WatchEvent>> out;
  const auto first = std::lower_bound(history_.begin(), history_.end(), watch.from,
                                      [](const Change& c, Revision r) { return c.revision < r; });
  for (auto it = first; it != history_.end(); ++it)
    if (within(it->event.now.key, watch.key, watch.end)) out.emplace_back(it->revision, it->event);
  return out;
}

}  // namespace yokestream::standin
