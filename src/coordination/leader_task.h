// Work that the leader of a fleet does beside the load shares. Each task has one state in the store: read by
// all processes, written by the leader alone, under its fencing token and over the state that it read.
//
// Pure, like all of src/coordination; called by the thread that runs coordination::FleetMember. Every
// process keeps one object a task, whether it leads or not.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/settings.h"
#include "coordination/store_keys.h"

namespace yokestream::coordination {

// What the leader reads when it inspects the fleet.
struct FleetSnapshot {
  Time now{};
  std::map<std::string, MemberRecord> members;           // by session
  std::map<std::string, std::string> operator_requests;  // by name (store_keys.h)
  store::Revision fencing_token = 0;
};

class LeaderTask {
 public:
  struct Draft {
    std::string state;
    std::vector<std::string> answered_requests;  // staff requests that this write deletes
  };

  virtual ~LeaderTask() = default;
  virtual std::string name() const = 0;
  // The stored state (empty: none) and this process's session (empty: none). False: the state is malformed;
  // it is never overwritten.
  virtual bool observe(std::string_view state, const std::string& session) = 0;
  // At the leader: the next state; nullopt: it stays as it is.
  virtual std::optional<Draft> next_draft(const FleetSnapshot& fleet) = 0;
  // Whether it waits for other members, so that the leader inspects the fleet again soon.
  virtual bool has_pending_work() const = 0;
};

}  // namespace yokestream::coordination
