#include "throttle/throttle.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>

#include "base/seconds.h"

namespace yokestream::throttle {
namespace {

constexpr Duration kEarly =
    std::chrono::milliseconds(20);  // by which a client may be early; clocks and wires
constexpr Duration kLeastHint = std::chrono::milliseconds(50);
constexpr Duration kLook = std::chrono::milliseconds(100);     // while somebody waits, windows are closed
constexpr Duration kActive = std::chrono::milliseconds(1000);  // since its last arrival a member counts
constexpr double kCalm = 0.5;       // of the bound: under it nobody is turned away for coming early
constexpr double kMostStretch = 3;  // an estimate of the service time is stretched by no more
constexpr double kPromised =
    0.9;  // of the pace at which places free: the rest is room for what was not foreseen
constexpr double kHintSpread = 0.25;  // of the longest hint, where no place can be kept

// By class too: a client's short requests do not wait behind its long ones.
std::uint64_t place_key(std::uint64_t client, std::size_t cls) {
  const std::array<std::uint64_t, 2> both{client, cls};
  return XXH3_64bits(both.data(), sizeof both);
}

}  // namespace

Throttle::Throttle(Settings settings, std::size_t members, std::size_t classes)
    : settings_(std::move(settings)),
      capacity_(classes, settings_.threads_per_core),
      cost_(std::max<std::size_t>(members, 1), classes),
      clients_(std::max<std::size_t>(members, 1), settings_.seed),
      queue_(std::max<std::size_t>(members, 1), settings_.waiting),
      places_(settings_.places, settings_.keep),
      members_(std::max<std::size_t>(members, 1)),
      random_(settings_.seed) {
  evicted_.reserve(4);
  configure(settings_);
}

void Throttle::configure(const Settings& settings) {
  settings_ = settings;
  weights_ = 0;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    queue_.weight(i, i < settings.weights.size() ? settings.weights[i] : 1);
    weights_ += queue_.weight(i);
  }
}

std::size_t Throttle::bytes(const Settings& settings, std::size_t members) {
  return FairQueue::bytes(members, settings.waiting) + settings.places * 32 +
         members * (Clients::kHeavy * 24 + sizeof(Member)) + settings.waiting * 96;
}

// A member within its share may fill the bound; the others leave a part of it free, so that a share that
// comes back finds room at once and not when a long query ends.
bool Throttle::may_pass(std::size_t member, double threads) const {
  if (threads_in_ == 0) return true;
  const double bound = capacity_.bound() * settings_.room;
  const bool within = members_[member].threads_in + threads <= std::max(threads, share(member) * bound);
  return threads_in_ + threads <= bound * (within ? 1 : 1 - settings_.reserve);
}

// Its part of what engines finish, by weight among the members that ask now.
double Throttle::rate_of(Time now, std::size_t member) const {
  double asking = queue_.weight(member);
  for (std::size_t i = 0; i < members_.size(); ++i) {
    const Member& m = members_[i];
    if (i != member && (m.in > 0 || queue_.count(i) > 0 || now - m.asked < kActive))
      asking += queue_.weight(i);
  }
  return capacity_.drain_rate() * queue_.weight(member) / asking;
}

Duration Throttle::service_time(const Arrival& arrival, double cost) const {
  return from_seconds(cost / arrival.threads * std::clamp(capacity_.stretch(), 1.0, kMostStretch));
}

void Throttle::enter(Time now, QueryId query, const In& in) {
  Member& m = members_[in.member];
  m.threads_in += in.threads;
  ++m.in;
  threads_in_ += in.threads;
  In& stored = in_[query] = in;
  stored.since = now;
}

// The places of a queue are booked one after another, at the pace at which its turns come: what a greedy
// client asked for stands in the way of its own next requests and of nobody else's.
Verdict Throttle::turn_away(Time now, std::size_t member, std::size_t queue, std::uint64_t key, double cost) {
  ++figures_.turned_away;
  const double rate = rate_of(now, member);
  Time& booked = members_[member].booked[queue];
  const Time drained = now + std::max(kLeastHint, from_seconds(queue_.before(member, queue) / rate));
  const Time due =
      std::max(booked, drained) + from_seconds(cost / (kPromised * rate) * queue_.turns(member, queue));
  if (due - now <= settings_.most_hint && places_.keep(now, key, {due, cost})) {
    booked = due;
    return {Ruling::turn_away, due - now, 0};
  }
  // No place: advice only, spread so that not all come back at one moment.
  random_ = XXH3_64bits_withSeed(&key, sizeof key, random_);
  const double spread = kHintSpread * static_cast<double>(random_ >> 11) * 0x1.0p-53;
  const double hint = seconds_of(std::min(settings_.most_hint, due - now)) * (1 - spread);
  return {Ruling::turn_away, std::max(kLeastHint, from_seconds(hint)), 0};
}

Verdict Throttle::arrive(Time now, const Arrival& arrival) {
  ++figures_.arrived;
  const std::size_t member = std::min(arrival.member, members_.size() - 1);
  Member& m = members_[member];
  m.asked = now;
  const std::uint64_t key = place_key(arrival.client, arrival.cls);
  const bool calm =
      queue_.size() == 0 && threads_in_ + arrival.threads <= kCalm * capacity_.bound() * settings_.room;
  if (!calm) {
    if (const auto place = places_.find(now, key); place && now < place->due - kEarly) {
      ++figures_.early, ++figures_.turned_away;
      return {Ruling::turn_away, place->due - now, 0};
    }
  }
  const bool kept = places_.take(now, key).has_value();
  figures_.kept += kept;
  const double cost = cost_.charge(member, arrival.cls, arrival.estimated_work_s);
  const auto queue = static_cast<std::uint32_t>(clients_.queue(now, member, key, cost));
  const auto cls = static_cast<std::uint32_t>(arrival.cls);
  if (queue_.count(member) == 0 && may_pass(member, arrival.threads)) {
    queue_.pass(member, queue, cost);
    enter(now, arrival.query,
          {static_cast<std::uint32_t>(member), queue, cls, arrival.estimated_work_s, cost, arrival.threads,
           now});
    ++figures_.passed_at_once;
    figures_.kept_in += kept;
    return {Ruling::pass, {}, cost};
  }
  const Time latest = arrival.deadline - service_time(arrival, cost);
  const double rate = rate_of(now, member);
  const Duration promised = kept ? Duration{} : std::max(Duration{}, m.booked[queue] - now);
  const Duration wait = std::max(promised, from_seconds((kept ? 0 : queue_.before(member, queue)) / rate));
  const Duration patience =
      std::min(settings_.most_wait, from_seconds(settings_.patience * seconds_of(arrival.deadline - now)));
  if (latest <= now || wait > (kept ? latest - now : std::min(patience, latest - now)))
    return turn_away(now, member, queue, key, cost);
  if (queue_.full()) {
    const std::size_t fat = queue_.fattest();
    if (fat == member) return turn_away(now, member, queue, key, cost);
    evicted_.push_back(put_out(now, queue_.newest(fat)));
  }
  const FairQueue::Ref ref = queue_.push(
      {arrival.query, static_cast<std::uint32_t>(member), queue, cost, arrival.threads, latest}, kept);
  waits_[arrival.query] = Waits{ref, cls, arrival.estimated_work_s, key};
  ++figures_.waited;
  figures_.kept_in += kept;
  return {Ruling::wait, {}, cost};
}

Moved Throttle::put_out(Time now, FairQueue::Ref ref) {
  const FairQueue::Entry entry = queue_.remove(ref);
  const auto it = waits_.find(entry.query);
  const std::uint64_t key = it->second.key;
  waits_.erase(it);
  return {entry.query, turn_away(now, entry.member, entry.queue, key, entry.cost)};
}

void Throttle::over(Time now, QueryId query, const Outcome& outcome) {
  const auto settled = settle(waits_, queue_, in_, query);
  if (!settled) return;
  const In& in = *settled;
  Member& m = members_[in.member];
  m.threads_in = --m.in == 0 ? 0 : m.threads_in - in.threads;
  threads_in_ = in_.empty() ? 0 : threads_in_ - in.threads;
  cost_.learn(in.member, in.cls, in.told, outcome.real);
  queue_.correct(in.member, in.queue, outcome.cost(in.cost) - in.cost);
  capacity_.over(now, in.cls, in.threads, in.cost, outcome, queue_.size() > 0);
}

std::optional<Moved> Throttle::next(Time now) {
  capacity_.tick(now, queue_.size() > 0);
  if (!evicted_.empty()) {
    const Moved out = evicted_.back();
    evicted_.pop_back();
    return out;
  }
  if (queue_.size() == 0) return std::nullopt;
  if (const auto ref = queue_.earliest(); queue_.at(ref).until <= now) return put_out(now, ref);
  const auto entry =
      queue_.pop([this](std::size_t member, double threads) { return may_pass(member, threads); });
  if (!entry) return std::nullopt;
  const auto it = waits_.find(entry->query);
  enter(now, entry->query,
        {entry->member, entry->queue, it->second.cls, it->second.told, entry->cost, entry->threads, now});
  waits_.erase(it);
  return Moved{entry->query, {Ruling::pass, {}, entry->cost}};
}

Time Throttle::next_due(Time now) const {
  if (!evicted_.empty()) return now;
  if (queue_.size() == 0) return Time::max();
  return std::min(queue_.at(queue_.earliest()).until, now + kLook);
}

Figures Throttle::figures() const {
  Figures f = figures_;
  f.waiting = queue_.size();
  f.in = in_.size();
  f.places = places_.kept();
  f.bound = capacity_.bound();
  f.threads_in = threads_in_;
  f.drain_rate = capacity_.drain_rate();
  f.stretch = capacity_.stretch();
  return f;
}

}  // namespace yokestream::throttle
