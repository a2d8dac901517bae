#include "coordination/session.h"

#include <algorithm>

namespace yokestream::coordination {
namespace {

Duration whole_seconds(Duration d) { return std::chrono::ceil<std::chrono::seconds>(d); }

}  // namespace

Time StoreSession::next_due() const {
  if (out_) return Time::max();
  return lease_ == store::LeaseId::none ? again_ : std::max(again_, sent_ + renew_after());
}

std::optional<store::Request> StoreSession::next_request(Time now) const {
  if (now < next_due()) return std::nullopt;
  if (lease_ != store::LeaseId::none) return store::KeepLeaseAlive{lease_};
  return store::GrantLease{whole_seconds(settings_.lease_duration) / std::chrono::seconds(1)};
}

// An answer that comes late counts from when it was asked for: it may say that the lease lives while this
// clock has already stopped counting on it. A grant whose reply was lost leaves a lease that holds nothing
// and ends by itself.
void StoreSession::on_reply(Time now, const store::Reply& reply) {
  out_ = false;
  const auto* done = std::get_if<store::Completed>(&reply);
  if (!done) {
    again_ = now + kRetryPause;
    return;
  }
  again_ = Time::min();
  if (done->ttl_s <= 0) {  // gone at the store: what hung on it is, too
    forget();
    return;
  }
  lease_ = done->lease;
  const auto ttl =
      std::min<Duration>(std::chrono::seconds(done->ttl_s), whole_seconds(settings_.lease_duration));
  until_ = sent_ + std::chrono::duration_cast<Duration>(ttl * (1 - settings_.clock_drift));
}

}  // namespace yokestream::coordination
