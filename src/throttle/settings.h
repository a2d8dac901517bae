// What the operator sets of the door. Checked where it is read (src/operator); the defaults are ours.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "yokestream/policy/admission_controller.h"

namespace yokestream::throttle {

using policy::Duration;
using policy::QueryId;
using policy::Time;

struct Settings {
  bool on = false;
  std::vector<double> weights;  // of the members, by position; a missing one counts 1
  std::size_t waiting = 4096;   // requests that may wait at the door, of all members; 1 to 65,536
  std::size_t places = 8192;    // kept places for clients told when to come back; 1 to 65,536
  // Who would wait longer than this part of the time it has left, or than this, is turned away.
  double patience = 0.15;  // 0 to 1
  Duration most_wait = std::chrono::seconds(5);
  Duration most_hint = std::chrono::seconds(30);   // no longer advice than this
  Duration keep = std::chrono::milliseconds(800);  // how long a place is kept past its time
  bool by_connection = false;                      // who is a client: an address, or a connection
  double reserve = 0.15;          // part of the bound that only members within their shares may use; 0 to 0.5
  double room = 1;                // times the bound that may be in: what waits behind the door counts too
  double threads_per_core = 2.0;  // the bound's start; 0.5 to 16
  std::uint64_t seed = 0;
};

}  // namespace yokestream::throttle
