// The store as we play it: revisions, keys with their history, transactions, leases, watches and compaction
// of etcd v3, as far as src/store asks for them. Pure: told requests and the time. One thread at a time.
// Memory: all versions since the last compaction.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "store/values.h"
#include "yokestream/policy/settings.h"

namespace yokestream::standin {

using policy::Duration;
using policy::Time;

// An answer with the published code of its kind; code 0: done.
struct StoreAnswer {
  int code = 0;
  std::string message;
  store::Completed done;
};

class StoreModel {
 public:
  static constexpr int kNotFound = 5, kOutOfRange = 11, kUnavailable = 14;

  StoreAnswer handle(Time now, const store::Request& request);
  void expire(Time now);  // what hung on leases that have ended goes
  Time next_expiry() const;
  // Events of `watch` from its revision on, in order; code 11 where they are compacted.
  StoreAnswer check(const store::WatchRequest& watch) const;
  std::vector<std::pair<store::Revision, store::WatchEvent>> events(const store::WatchRequest& watch) const;

  store::Revision revision() const { return revision_; }
  std::vector<store::KeyValue> range(const store::Range& range) const;
  // Troubles.
  void compact() { compacted_ = revision_; }
  StoreModel snapshot() const { return *this; }  // to be put back later: the store's revision runs backwards

  // What was changed, for the checker: in order of revision.
  struct Change {
    store::Revision revision = 0;
    Time at{};
    store::WatchEvent event;
  };
  const std::vector<Change>& history() const { return history_; }

 private:
  bool holds(const store::Compare& compare) const;
  bool within(const std::string& key, const std::string& from, const std::string& end) const;
  void note(Change change);
  void unhang(const store::KeyValue& kv);  // from the lease that it hung on
  void put(Time now, const store::Put& put, store::Revision at);
  bool remove(Time now, const store::Delete& del, store::Revision at);

  StoreAnswer on(Time now, const store::Txn& txn);
  StoreAnswer on(Time now, const store::Range& range);
  StoreAnswer on(Time now, const store::GrantLease& grant);
  StoreAnswer on(Time now, const store::KeepLeaseAlive& keep);
  StoreAnswer on(Time now, const store::RevokeLease& revoke);
  void lasts(Time ends, store::LeaseId lease);
  void end(Time now, store::LeaseId lease);

  struct Lease {
    std::int64_t ttl_s = 0;
    Time ends{};
    std::set<std::string> keys;  // that hang on it
  };
  std::map<std::string, store::KeyValue> keys_;
  std::map<store::LeaseId, Lease> leases_;
  std::set<std::pair<Time, store::LeaseId>> ends_;
  std::vector<Change> history_;
  std::map<std::string, std::vector<std::size_t>> by_key_;  // where each key stands in the history
  store::Revision revision_ = 1, compacted_ = 0;
  std::int64_t last_lease_ = 1000;
};

}  // namespace yokestream::standin
