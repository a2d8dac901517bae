// Which of the store's addresses is asked next, and when. Pure: told outcomes with a time, answers with an
// address and the moment from which it may be asked.
//
// Each manager begins at an address of its own and stays there while it answers. After a failure it goes to
// the next one; once all have failed it waits a random part of ten times as long as the store has been away,
// `spread` at most. So after an outage of seconds no second sees more than a twentieth of all managers come
// back. One thread at a time. Memory: the list.
#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "config/members.h"
#include "yokestream/policy/settings.h"

namespace yokestream::store {

using policy::Duration;
using policy::Time;

class EndpointRotation {
 public:
  static constexpr Duration kFirstWait = std::chrono::milliseconds(200);
  static constexpr int kTimesAway = 10;

  EndpointRotation(std::vector<config::Endpoint> all, std::uint64_t seed, Duration spread);

  const config::Endpoint& current() const { return all_[at_]; }
  Time next_attempt_at() const { return not_before_; }
  void record_success(Time now);
  void record_failure(Time now);

 private:
  const std::vector<config::Endpoint> all_;  // one at least
  const Duration spread_;
  std::minstd_rand random_;
  std::size_t at_ = 0, failed_in_row_ = 0;
  Duration wait_ = kFirstWait;
  Time not_before_ = Time::min(), away_since_ = Time::max();
};

}  // namespace yokestream::store
