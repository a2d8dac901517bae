// Further work that the fleet's owner does, each with one state of its own in the store: what the owner has
// decided, read by all processes and written by the owner alone, in its term and over the state that it read.
//
// Pure, like all of src/duty; the thread that runs coordination::Fleet calls. A process keeps one of each,
// whether it is the owner or not.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/names.h"
#include "coordination/settings.h"

namespace yokestream::coordination {

// What the owner sees when it looks at the fleet.
struct FleetSnapshot {
  Time now{};
  std::map<std::string, MemberRecord> members;        // by session
  std::map<std::string, std::string> staff_requests;  // what staff asked for, by name (names.h)
  store::Revision fencing_token = 0;
};

class LeaderTask {
 public:
  struct Draft {
    std::string state;
    std::vector<std::string> answered_requests;  // of what was asked: gone with this write
  };

  virtual ~LeaderTask() = default;
  virtual std::string name() const = 0;
  // The state as it stands now, empty: there is none; and this process's session, empty: it has none. False:
  // it makes no sense, and nothing is written over it.
  virtual bool observe(std::string_view state, const std::string& session) = 0;
  // At the owner: what is to stand there next; nullopt: all stays.
  virtual std::optional<Draft> next_draft(const FleetSnapshot& looked) = 0;
  // Whether it waits for something, so that the owner looks again soon.
  virtual bool has_pending_work() const = 0;
};

}  // namespace yokestream::coordination
