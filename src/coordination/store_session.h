// One process's lease in the store: its incarnation, and how long it may act on what it was granted.
//
// S2, clocks are used as rates only: the holder counts from before it sent a renewal, the store from when it
// received it, and the holder's clock may run slow by Settings::clock_drift. So the holder stops first.
//
//   state      request         reply                  next state
//   no lease   GrantLease      ttl > 0                held until sent + ttl * (1 - drift)
//   held       KeepLeaseAlive  ttl > 0                held, counted from this renewal
//   held       KeepLeaseAlive  ttl <= 0               no lease
//   either     either          failed, unknown        as before; retried after kRetryPause
//
// Pure: takes replies with a time, returns the next request. Not thread-safe. Memory: fixed.
#pragma once

#include <optional>

#include "coordination/settings.h"
#include "store/values.h"

namespace yokestream::coordination {

class StoreSession {
 public:
  explicit StoreSession(const Settings& settings) : settings_(settings) {}

  // The request to send now; nullopt: none is due. One at a time: on_request_sent(), then on_reply().
  std::optional<store::Request> next_request(Time now) const;
  void on_request_sent(Time now) {
    sent_at_ = now;
    in_flight_ = true;
  }
  void on_reply(Time now, const store::Reply& reply);
  Time next_due() const;  // Time::max(): not before a reply

  bool is_held(Time now) const { return lease_ != store::LeaseId::none && now < held_until_; }
  Time held_until() const { return held_until_; }
  store::LeaseId lease() const { return lease_; }
  void forget() {  // the lease was revoked or has expired
    lease_ = store::LeaseId::none;
    held_until_ = Time::min();
  }

 private:
  Duration renew_after() const { return settings_.lease_duration / 3; }

  const Settings& settings_;
  store::LeaseId lease_ = store::LeaseId::none;
  Time held_until_ = Time::min();
  Time sent_at_ = Time::min();  // of the last request
  Time retry_at_ = Time::min();
  bool in_flight_ = false;  // a request is
};

}  // namespace yokestream::coordination
