// Replayed deadline traffic on the virtual clock: a shape read from a file of ours, played through the core
// with the queues on or off. Used by `yokestream-standin queues` and by tests.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "standin/world.h"

namespace yokestream::standin {

// CSV as measure/traffic/deadline.csv; throws std::runtime_error naming the line that is wrong.
std::vector<Load> read_traffic(const std::string& text);

struct DeadlinePlay {
  bool queues = true, door = false;
  double bad_plan_times = 1;  // of the shape's share of bad plans, from 10 s to 50 s
  std::uint64_t seed = 1;
  double scale = 1;  // of the shape's rates, which are for 16 engines of 8 cores
  std::size_t engines = 16;
  double cores = 8;  // of each
  Duration length = std::chrono::seconds(180);
  std::vector<Load> more;                            // beside the shape
  std::function<void(scheduler::Settings&)> change;  // of the queues' settings
  std::function<void(World&)> incidents;             // put on its timeline
};

struct DeadlineSeen {
  std::vector<Load> loads;
  std::vector<Service> services;  // by load
  scheduler::Metrics figures;
  std::size_t left_open = 0;
  // In-time share of a class's first tries (of all teams, or of one).
  double in_time(std::size_t cls, std::size_t member = kMembersAll) const {
    return part_of(&Service::in_time, cls, member);
  }
  double served(std::size_t cls, std::size_t member = kMembersAll) const {
    return part_of(&Service::served, cls, member);
  }
  // Quoted waits against those that came: all, and those of kShortWaitS and longer.
  std::size_t quotes = 0, right = 0, long_quotes = 0, long_right = 0;
  static constexpr std::size_t kMembersAll = 1000;

 private:
  double part_of(std::uint64_t Service::*got, std::size_t cls, std::size_t member) const;
};

scheduler::Settings teams_of_members();  // one team a member, lookups prompt
DeadlineSeen play_deadline(const std::vector<Load>& traffic, const DeadlinePlay& play);

// Prints the tables; true: it holds.
bool measure_queues(const std::string& traffic_path, std::uint64_t seed);

}  // namespace yokestream::standin
