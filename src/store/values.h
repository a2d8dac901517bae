// Requests to the store and its replies as plain values: the part of etcd v3's API that a fleet needs
// (etcd.io/docs/v3.5/learning/api). Independent of the wire format and of the meaning of the keys.
//
// A revision is the store's counter of changes. It never decreases unless the store is restored from an older
// backup. A key's create revision is the revision of the put that created it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace yokestream::store {

using Revision = std::int64_t;
enum class LeaseId : std::int64_t { none = 0 };

inline constexpr std::size_t kMaxValueBytes = 64 * 1024;  // of one value, read or written
inline constexpr std::size_t kMaxKeyBytes = 1024;
inline constexpr std::size_t kMaxTransactionOps = 128;  // in one transaction; etcd's default limit

struct KeyValue {
  std::string key, value;
  Revision create_revision = 0, mod_revision = 0;
  std::int64_t version = 0;
  LeaseId lease = LeaseId::none;
  bool operator==(const KeyValue&) const = default;
};

// ---- requests

struct Compare {
  enum class Target { create_revision, mod_revision, value } target = Target::create_revision;
  std::string key;
  Revision revision = 0;  // expected create or mod revision; 0: the key must be absent
  std::string value;      // expected value
};
struct Put {
  std::string key, value;
  LeaseId lease = LeaseId::none;
};
struct Delete {
  std::string key, end;  // from `key` up to `end`, exclusive; empty `end`: only `key`
};
struct Range {
  std::string key, end;   // as for Delete
  Revision revision = 0;  // as of this revision; 0: now
  bool operator==(const Range&) const = default;
};
using Op = std::variant<Put, Delete, Range>;
struct Txn {
  std::vector<Compare> compares;
  std::vector<Op> on_success, on_failure;
};
struct GrantLease {
  std::int64_t ttl_s = 0;
};
struct KeepLeaseAlive {
  LeaseId lease{};
};
struct RevokeLease {
  LeaseId lease{};
};
struct WatchRequest {
  std::string key, end;
  Revision start_revision = 0;  // of the first change to report
};
using Request = std::variant<Txn, Range, GrantLease, KeepLeaseAlive, RevokeLease>;

// ---- replies

struct RangeResult {
  std::vector<KeyValue> key_values;
  bool operator==(const RangeResult&) const = default;
};
struct Completed {
  Revision revision = 0;            // of the store at the time of the reply
  bool succeeded = true;            // Txn: the comparisons held; false: `on_failure` was applied
  std::vector<RangeResult> ranges;  // results of a Txn's Range operations in order, or of one Range
  LeaseId lease{};                  // GrantLease, KeepLeaseAlive
  std::int64_t ttl_s = 0;           // GrantLease, KeepLeaseAlive; 0: the lease has expired
};
// A transaction whose comparisons failed is `Completed` with succeeded == false. `Failed`: the request was
// certainly not applied. `OutcomeUnknown`: the request may have been applied, so the caller must read the
// keys back before it acts.
struct Failed {
  std::string cause;
  bool compacted = false;  // the requested revision has been compacted by the store
};
struct OutcomeUnknown {
  std::string cause;
};
using Reply = std::variant<Completed, Failed, OutcomeUnknown>;

struct WatchEvent {
  enum class Kind { put, removed } kind = Kind::put;
  KeyValue key_value;
};
struct WatchResponse {  // one message of a watch
  Revision revision = 0;
  std::vector<WatchEvent> events;
  bool created = false, canceled = false;
  Revision compact_revision = 0;  // above 0: changes up to this revision have been compacted
};

// Returns the `end` of the range of all keys that begin with `prefix`.
inline std::string prefix_range_end(std::string prefix) {
  while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xff) prefix.pop_back();
  if (!prefix.empty()) prefix.back() = static_cast<char>(static_cast<unsigned char>(prefix.back()) + 1);
  return prefix.empty() ? std::string(1, '\0') : prefix;
}

}  // namespace yokestream::store
