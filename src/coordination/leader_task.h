// Interface of the leader's tasks other than the load shares. Each task has one state in the store. All
// processes read it; only the leader writes it, under its fencing token and only if the state is unchanged
// since it was read.
//
// Implementations perform no I/O; the thread that runs FleetMember calls them. Every process keeps one object
// per task, whether it leads or not.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/settings.h"
#include "coordination/store_keys.h"

namespace yokestream::coordination {

// What the leader reads in one inspection of the fleet.
struct FleetSnapshot {
  Time now{};
  std::map<std::string, MemberRecord> members;           // by session
  std::map<std::string, std::string> operator_requests;  // by request name (store_keys.h)
  store::Revision fencing_token = 0;
};

class LeaderTask {
 public:
  struct Draft {
    std::string state;
    std::vector<std::string> answered_requests;  // operator requests to delete with this write
  };

  virtual ~LeaderTask() = default;
  virtual std::string name() const = 0;
  // Takes the stored state and this process's session; empty: there is none. False: the state is malformed,
  // and is never overwritten.
  virtual bool observe(std::string_view state, const std::string& session) = 0;
  // At the leader: the next state; nullopt: no change.
  virtual std::optional<Draft> next_draft(const FleetSnapshot& fleet) = 0;
  // Whether the task waits for other members, in which case the leader inspects the fleet more often.
  virtual bool has_pending_work() const = 0;
};

}  // namespace yokestream::coordination
