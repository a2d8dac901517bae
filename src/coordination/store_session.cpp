#include "coordination/store_session.h"

#include <algorithm>

namespace yokestream::coordination {
namespace {

Duration whole_seconds(Duration d) { return std::chrono::ceil<std::chrono::seconds>(d); }

}  // namespace

Time StoreSession::next_due() const {
  if (in_flight_) return Time::max();
  return lease_ == store::LeaseId::none ? retry_at_ : std::max(retry_at_, sent_at_ + renew_after());
}

std::optional<store::Request> StoreSession::next_request(Time now) const {
  if (now < next_due()) return std::nullopt;
  if (lease_ != store::LeaseId::none) return store::KeepLeaseAlive{lease_};
  return store::GrantLease{whole_seconds(settings_.lease_duration) / std::chrono::seconds(1)};
}

// Failure: a reply arrives late, and the time to live is counted from its arrival.
// Symptom: this process acts on a lease that has already expired at the store.
// Guard: the time to live is counted from when the request was sent.
// If the reply to a GrantLease is lost, a lease without keys remains, which expires by itself.
void StoreSession::on_reply(Time now, const store::Reply& reply) {
  in_flight_ = false;
  const auto* completed = std::get_if<store::Completed>(&reply);
  if (!completed) {
    retry_at_ = now + kRetryPause;
    return;
  }
  retry_at_ = Time::min();
  if (completed->ttl_s <= 0) {  // expired at the store, with all keys attached to it
    forget();
    return;
  }
  lease_ = completed->lease;
  const auto ttl =
      std::min<Duration>(std::chrono::seconds(completed->ttl_s), whole_seconds(settings_.lease_duration));
  held_until_ = sent_at_ + std::chrono::duration_cast<Duration>(ttl * (1 - settings_.clock_drift));
}

}  // namespace yokestream::coordination
