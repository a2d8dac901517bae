// Keys of a fleet in the store, below its prefix, and the record that each process publishes.
//
//   format                 version of the storage format; an unsupported one is reported, not overwritten
//   alive/SESSION          a MemberRecord, attached to the process's lease
//   duty/T/line/SESSION    a candidate for leader of task T, attached to its lease; the oldest one leads
//   duty/T/beat            the leader's last progress
//   state/T                state of task T, with the fencing token that wrote it; watched by all processes
//   ask/REQUEST            an operator's request to the leader (yokestream fleet); deleted when answered
//
// In these keys `duty` stands for a task, `line` for its candidates, `beat` for progress and `ask` for
// requests. Limits: one record of at most kMaxMemberRecordBytes per session, one state per task. Callable
// from any thread.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/settings.h"
#include "store/values.h"

namespace yokestream::coordination {

inline constexpr std::string_view kFormat = "1";
inline constexpr std::size_t kMaxMemberRecordBytes = 4096;
inline constexpr std::size_t kMaxMembers = 1024;  // of one fleet

// The name of a session in keys and records: 16 hex digits.
std::string session_name(store::LeaseId lease);

struct StoreKeys {
  explicit StoreKeys(const std::string& prefix) : root(prefix + "/") {}
  std::string format() const { return root + "format"; }
  std::string member() const { return root + "alive/"; }
  std::string member(store::LeaseId lease) const { return member() + session_name(lease); }
  std::string candidates(const std::string& task) const { return root + "duty/" + task + "/line/"; }
  std::string leader_progress(const std::string& task) const { return root + "duty/" + task + "/beat"; }
  std::string task_states() const { return root + "state/"; }
  std::string task_state(const std::string& task) const { return task_states() + task; }
  std::string operator_requests() const { return root + "ask/"; }
  std::string root;
};

struct MemberRecord {
  std::string name, version;  // name of the manager, version of the program
  double requests_per_s = 0;  // smoothed
  // By task: the epoch acted on (S3, see fleet_member.h).
  std::map<std::string, std::int64_t> acknowledged_epochs;
  // By migration plan: counts of request outcomes at the source and at the target of the migration since the
  // session began, source first (migration/outcome_gate.h).
  std::map<std::string, std::vector<std::int64_t>> tallies;
  bool operator==(const MemberRecord&) const = default;
};
std::string encode(const MemberRecord& record);
std::optional<MemberRecord> decode_member_record(std::string_view text);  // nullopt: malformed

}  // namespace yokestream::coordination
