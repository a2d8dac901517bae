// The keys of a fleet in the store, below its prefix, and the record that each process publishes of itself.
//
//   format                 version of all that follows; an unknown one is reported and left alone
//   alive/SESSION          a MemberRecord, under the process's lease
//   duty/T/line/SESSION    a candidate for leader of task T, under its lease; the oldest leads
//   duty/T/beat            the leader's last sign of progress
//   state/T                the task's state, with the fencing token that wrote it; watched by all
//   ask/REQUEST            a staff request to the leader (yokestream fleet); deleted when answered
//
// `duty`, `line`, `beat`, `ask` are the store's words for task, candidates, progress and request.
// Bounded: one record a session of at most kMaxMemberRecordBytes, one state a task. Pure; any thread.
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
  std::string name, version;                                // of the manager, of the program
  double requests_per_s = 0;                                // smoothed
  std::map<std::string, std::int64_t> acknowledged_epochs;  // by task: the epoch that it acts on (S3)
  // Outcomes on both sides of a migration, by plan, since the session began (migration/outcome_gate.h).
  std::map<std::string, std::vector<std::int64_t>> tallies;
  bool operator==(const MemberRecord&) const = default;
};
std::string encode(const MemberRecord& record);
std::optional<MemberRecord> decode_member_record(std::string_view text);  // nullopt: malformed

}  // namespace yokestream::coordination
