// One process's lease in the store: its incarnation, and for how long it may act on what it was granted.
//
// S2, clocks are only rates: the holder counts from the moment before it sent a renewal, the store from when
// it got it, and the holder's clock may run slow by `drift`. So the holder always stops first. Pure: told
// replies with a time, answers with what to ask. One thread at a time. Memory: fixed.
#pragma once

#include <optional>

#include "coordination/settings.h"
#include "store/values.h"

namespace yokestream::coordination {

class StoreSession {
 public:
  explicit StoreSession(const Settings& settings) : settings_(settings) {}

  // What is to be asked now. After asked(), nothing until replied().
  std::optional<store::Request> next_request(Time now) const;
  void on_request_sent(Time now) { sent_ = now, out_ = true; }
  void on_reply(Time now, const store::Reply& reply);
  Time next_due() const;  // when next() has something

  bool is_held(Time now) const { return lease_ != store::LeaseId::none && now < until_; }
  Time held_until() const { return until_; }  // it counts as held before this
  store::LeaseId lease() const { return lease_; }
  void forget() { lease_ = store::LeaseId::none, until_ = Time::min(); }  // it is given back

 private:
  Duration renew_after() const { return settings_.lease_duration / 3; }

  const Settings& settings_;
  store::LeaseId lease_ = store::LeaseId::none;
  Time until_ = Time::min(), sent_ = Time::min(), again_ = Time::min();
  bool out_ = false;
};

}  // namespace yokestream::coordination
