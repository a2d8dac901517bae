// What the core keeps of a request and of its attempt, and the timers that it sets. Plain records: the core
// owns them and decides on them (manager.h).
#pragma once

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "dispatch/ports.h"
#include "door/door.h"

namespace yokestream::dispatch {

struct Wake {
  std::uint64_t token = 0;
};
struct Deadline {
  policy::QueryId query{};
};
struct Guard {
  policy::QueryId query{};
};
struct AttemptTimer {  // time-out, or the end of what a stop may take
  policy::QueryId query{};
  AttemptTag tag = 0;
  policy::Outcome outcome{};
  Time since{};
};
struct DialAgain {  // no link could be had for this attempt just then
  policy::QueryId query{};
  AttemptTag tag = 0;
};
struct Sweep {};
struct CloseIdle {};    // clients are sent away: those that are idle now
struct StationLook {};  // somebody at a station may have to move
struct EndAll {};       // told to leave: whatever is open gets its answer now
struct RoutesEnd {};    // the grant is over, unless it was renewed
using Timer = std::variant<Wake, Deadline, Guard, AttemptTimer, DialAgain, Sweep, CloseIdle, StationLook,
                           EndAll, RoutesEnd>;
using Timers = std::multimap<Time, Timer>;

enum class Phase { dialing, out, stopping, fetching };  // dialing: on no link, until it is dialed again
struct Attempt {
  policy::AttemptNumber number{};
  std::string uid;
  EngineConnectionId link{};
  AttemptTag tag = 0;
  Time sent{};
  Time dial_by{};  // a link is up by then
  Time until{};    // its answer is wanted by then
  Phase phase = Phase::out;
  EngineResponse end;  // fetching: the answer `served`, its body grown by the pages that have come
  std::map<std::uint32_t, std::string> pages;
  Reservation held;
  policy::Duration took{};
};
struct Request {
  RequestReceived told;
  std::vector<EngineConnectionId> used;  // by its attempts so far
  std::uint32_t priority = 1;            // the module's wish
  std::uint32_t attempts = 0;
  bool answered = false;
  std::optional<Attempt> attempt;
  Reservation held;
  Timers::iterator deadline, guard;
  Time passed{};                              // the door
  std::optional<policy::EngineSet> eligible;  // as the module was told last
  door::Outcome past;                         // what the door is to hear at the end
};

}  // namespace yokestream::dispatch
