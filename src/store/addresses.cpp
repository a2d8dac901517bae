#include "store/addresses.h"

#include <algorithm>
#include <stdexcept>

namespace yokestream::store {

EndpointRotation::EndpointRotation(std::vector<config::Endpoint> all, std::uint64_t seed, Duration spread)
    : all_(std::move(all)),
      spread_(spread),
      random_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)) {
  if (all_.empty()) throw std::invalid_argument("no address of the store");
  at_ = random_() % all_.size();
}

void EndpointRotation::record_success(Time) {
  failed_in_row_ = 0;
  wait_ = kFirstWait;
  not_before_ = Time::min();
  away_since_ = Time::max();
}

// Guards the store against all managers at once, when it comes back: those that have waited for long find
// their moment anywhere within the whole spread, whatever their last failure was.
void EndpointRotation::record_failure(Time now) {
  away_since_ = std::min(away_since_, now);
  at_ = (at_ + 1) % all_.size();
  if (++failed_in_row_ % all_.size() != 0) return;  // another one may answer at once
  std::uniform_real_distribution<double> draw(0, 1);
  const Duration most = std::min(spread_, std::max(wait_, kTimesAway * (now - away_since_)));
  wait_ = std::min(2 * wait_, spread_);
  not_before_ = now + std::chrono::duration_cast<Duration>(most * draw(random_));
}

}  // namespace yokestream::store
