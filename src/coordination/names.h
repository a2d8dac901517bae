// The keys of a fleet in the store, below its prefix, and the record that each process keeps of itself.
//
//   format                 the form of all that follows; another one than ours is told of and left alone
//   alive/SESSION          a Fact, under the process's lease
//   duty/D/line/SESSION    a candidate, under its lease; the oldest owns D (election.h)
//   duty/D/beat            the owner's last sign of progress
//   state/D                what the duty has decided, with the term that wrote it; watched by all
//   ask/WHAT               what staff ask the owner for (yokestream fleet); gone when it is answered
//
// Bounded: one fact a session of at most kMostFact bytes, one state a duty. Pure; any thread.
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

// A session as keys and records name it: 16 hex digits.
std::string session_name(store::LeaseId lease);

struct StoreKeys {
  explicit StoreKeys(const std::string& prefix) : root(prefix + "/") {}
  std::string format() const { return root + "format"; }
  std::string member() const { return root + "alive/"; }
  std::string member(store::LeaseId lease) const { return member() + session_name(lease); }
  std::string candidates(const std::string& duty) const { return root + "duty/" + duty + "/line/"; }
  std::string leader_progress(const std::string& duty) const { return root + "duty/" + duty + "/beat"; }
  std::string task_states() const { return root + "state/"; }
  std::string task_state(const std::string& duty) const { return task_states() + duty; }
  std::string staff_requests() const { return root + "ask/"; }
  std::string root;
};

struct MemberRecord {
  std::string name, version;                                // the manager's, the program's
  double requests_per_s = 0;                                // requests a second, smoothed
  std::map<std::string, std::int64_t> acknowledged_epochs;  // by duty: the epoch that it acts on (S3)
  // Outcomes on the two sides of what moves, by plan, counted since the session began (migration/tally.h).
  std::map<std::string, std::vector<std::int64_t>> tallies;
  bool operator==(const MemberRecord&) const = default;
};
std::string encode(const MemberRecord& fact);
std::optional<MemberRecord> decode_member_record(std::string_view text);  // nullopt: it makes no sense

}  // namespace yokestream::coordination
