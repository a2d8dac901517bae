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
inline constexpr std::size_t kMostFact = 4096;
inline constexpr std::size_t kMostProcesses = 1024;  // of one fleet

// A session as keys and records name it: 16 hex digits.
std::string session_name(store::LeaseId lease);

struct Names {
  explicit Names(const std::string& prefix) : root(prefix + "/") {}
  std::string format() const { return root + "format"; }
  std::string alive() const { return root + "alive/"; }
  std::string alive(store::LeaseId lease) const { return alive() + session_name(lease); }
  std::string line(const std::string& duty) const { return root + "duty/" + duty + "/line/"; }
  std::string beat(const std::string& duty) const { return root + "duty/" + duty + "/beat"; }
  std::string states() const { return root + "state/"; }
  std::string state(const std::string& duty) const { return states() + duty; }
  std::string asks() const { return root + "ask/"; }
  std::string root;
};

struct Fact {
  std::string name, version;                 // the manager's, the program's
  double traffic = 0;                        // requests a second, smoothed
  std::map<std::string, std::int64_t> seen;  // by duty: the epoch that it acts on (S3)
  // Outcomes on the two sides of what moves, by plan, counted since the session began (migration/tally.h).
  std::map<std::string, std::vector<std::int64_t>> tallies;
  bool operator==(const Fact&) const = default;
};
std::string encode(const Fact& fact);
std::optional<Fact> decode_fact(std::string_view text);  // nullopt: it makes no sense

}  // namespace yokestream::coordination
