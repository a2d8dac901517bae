// One process of DutyWorld. Only for duty_world.cpp and duty_troubles.cpp.
#pragma once

#include <array>

#include "migration/migration_task.h"
#include "standin/duty_world.h"
#include "store/endpoint_rotation.h"

namespace yokestream::standin {

using coordination::FleetMember;
using std::chrono::milliseconds;

struct DutyWorld::Process {
  std::unique_ptr<migration::MigrationTask> mover;
  std::unique_ptr<FleetMember> fleet;
  std::unique_ptr<Edge> edge;
  std::unique_ptr<store::EndpointRotation> addresses;
  std::uint64_t life = 0, call = 0;  // counted up, so that what is meant for an earlier one is dropped
  double rate = 1, traffic = 1;
  bool lives = false, stopped = false, there = true, back = true, opening = false;
  std::vector<std::function<void()>> held;  // what comes while it is stopped
  std::array<std::optional<store::WatchRequest>, FleetMember::kWatchSlots> watches;
  FleetMember::LoadGrant acting;  // what the core acts on
  store::LeaseId session = store::LeaseId::none;
};

}  // namespace yokestream::standin
