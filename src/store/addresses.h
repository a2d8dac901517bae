// Which of the store's addresses is asked next, and when. Pure: told outcomes with a time, answers with an
// address and the moment from which it may be asked.
//
// Each manager begins at an address of its own and stays there while it answers. After a failure it goes to
// the next one; once all have failed it waits, longer each round, a random part of the wait. After an outage
// no second sees more than a twentieth of all managers come back: the last wait spreads them over
// kSpread. One thread at a time. Memory: the list.
#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "config/members.h"
#include "lynxstand/settings.h"

namespace yokestream::store {

using lynxstand::Duration;
using lynxstand::Time;

class Addresses {
 public:
  static constexpr Duration kFirstWait = std::chrono::milliseconds(200);
  // Of which a manager draws its moment, evenly, once the store was away for longer than kAway.
  static constexpr Duration kSpread = std::chrono::seconds(30);
  static constexpr Duration kAway = std::chrono::seconds(5);

  Addresses(std::vector<config::Endpoint> all, std::uint64_t seed);

  const config::Endpoint& current() const { return all_[at_]; }
  Time not_before() const { return not_before_; }
  void answered(Time now);
  void failed(Time now);

 private:
  const std::vector<config::Endpoint> all_;  // one at least
  std::minstd_rand random_;
  std::size_t at_ = 0, failed_in_row_ = 0;
  Duration wait_ = kFirstWait;
  Time not_before_ = Time::min(), away_since_ = Time::max();
};

}  // namespace yokestream::store
