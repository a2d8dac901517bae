// One process's lease in the store. It identifies the session and limits how long the process may act on its
// grants.
//
// S2: clocks are only used to measure durations. The holder counts the time to live from before it sent a
// renewal, the store from when it received it, and the holder subtracts Settings::clock_drift for a slow
// clock. So the session ends at the holder before it ends at the store.
//
//   state      request         reply                  next state
//   no lease   GrantLease      ttl > 0                held until sent + ttl * (1 - drift)
//   held       KeepLeaseAlive  ttl > 0                held, counted from this renewal
//   held       KeepLeaseAlive  ttl <= 0               no lease
//   either     either          failed, unknown        same; retried after kRetryPause
//
// Performs no I/O: takes replies with a time, returns the next request. Not thread-safe. Memory: fixed.
#pragma once

#include <optional>

#include "coordination/settings.h"
#include "store/values.h"

namespace yokestream::coordination {

class StoreSession {
 public:
  explicit StoreSession(const Settings& settings) : settings_(settings) {}

  // The request to send now; nullopt: none is due. One request is in flight at a time: call
  // on_request_sent(), then on_reply().
  std::optional<store::Request> next_request(Time now) const;
  void on_request_sent(Time now) {
    sent_at_ = now;
    in_flight_ = true;
  }
  void on_reply(Time now, const store::Reply& reply);
  Time next_due() const;  // Time::max(): none before a reply

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
  bool in_flight_ = false;  // a request awaits its reply
};

}  // namespace yokestream::coordination
