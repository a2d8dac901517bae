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
struct Looked {
  Time now{};
  std::map<std::string, Fact> living;        // by session
  std::map<std::string, std::string> asked;  // what staff asked for, by name (names.h)
  store::Revision term = 0;
};

class Duty {
 public:
  struct Draft {
    std::string state;
    std::vector<std::string> answered;  // of what was asked: gone with this write
  };

  virtual ~Duty() = default;
  virtual std::string name() const = 0;
  // The state as it stands now, empty: there is none; and this process's session, empty: it has none. False:
  // it makes no sense, and nothing is written over it.
  virtual bool see(std::string_view state, const std::string& session) = 0;
  // At the owner: what is to stand there next; nullopt: all stays.
  virtual std::optional<Draft> next(const Looked& looked) = 0;
  // Whether it waits for something, so that the owner looks again soon.
  virtual bool busy() const = 0;
};

}  // namespace yokestream::coordination
