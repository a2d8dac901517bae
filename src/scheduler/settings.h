// What the operator sets of the queues. Checked where it is read (src/operator); the defaults are ours.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "yokestream/policy/admission_controller.h"

namespace yokestream::scheduler {

using policy::Duration;
using policy::QueryId;
using policy::Time;

constexpr std::size_t kLevels = 4;  // of service: 0 what can wait, 1 usual, 2 prompt, 3 urgent
constexpr std::size_t kNone = ~std::size_t{0};

// A team, or a group of teams: a node of a tree of two levels.
struct Team {
  std::string name;
  std::string group;            // empty: none; else the name of a node that is in no group itself
  double budget = -1;           // engine-seconds (of one core) a span; below 0: by its share
  double share = 0;             // of the engines, where no budget is told; 0 to 1
  double burst = 1;             // what it may save up, in spans' budgets; 0 to 10
  double floor = 0;             // part of the engines that it gets whatever it has used; 0 to 1
  double ceiling = 1;           // part of the engines that it gets at most; 0 to 1
  std::vector<unsigned> level;  // by class; a missing one counts 1
};

struct Settings {
  bool on = false;
  std::vector<Team> teams;           // the first one takes in whoever is in no other
  std::vector<std::size_t> team_of;  // by member: the position of its team; a missing one counts 0
  Duration span = std::chrono::seconds(60);
  Duration age = std::chrono::seconds(2);  // waiting that weighs as much as one level
  double rescue = 0.1;                     // part of the engines kept for who is overdue; 0 to 0.5
  std::size_t waiting = 16384;             // requests that may wait, of all teams; 1 to 262,144
  // Who would not go in time, by the quote, is turned away: times the wait that it can afford until its
  // wanted time; 0 to 100. What can wait (level 0) may wait until its deadline.
  double patience = 1;
  Duration most_wait = std::chrono::seconds(10);  // no admitted request waits longer
  Duration most_hint = std::chrono::seconds(30);
  double threads_per_core = 1.4;  // that run at the engines, at the start; 0.5 to 16
  double room = 4;                // times that, of what the door lets in; 1 to 64
  double sink = 5;                // a query past this many times its usual time sinks; 1.5 to 100
  bool quote_method = false;      // may clients ask for quotes, and do answers carry them?
  double nice_per_s = 20;         // changes of priority a second and engine; 0 to 1,000
};

}  // namespace yokestream::scheduler
