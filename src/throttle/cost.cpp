#include "throttle/cost.h"

#include <algorithm>
#include <cmath>

namespace yokestream::throttle {
namespace {

constexpr double kStep = 0.1;      // weight of one outcome once there are many
constexpr double kTrust = 8;       // outcomes of a pair at which it counts half against its class
constexpr double kMostFactor = 4;  // logarithm: bad plans and nonsense count for no more
constexpr double kUnknown = 0.2;   // seconds: a kind never seen
constexpr double kLeast = 1e-3;    // seconds: no request is free

}  // namespace

Cost::Cost(std::size_t members, std::size_t classes)
    : members_(members),
      classes_(std::max<std::size_t>(classes, 1)),
      kinds_(classes_),
      pairs_((members + 1) * classes_) {}

double Cost::charge(std::size_t member, std::size_t cls, double told) const {
  const Kind& own = pairs_[pair(member, cls)];
  const Kind& all = kinds_[kind(cls)];
  const double trust = own.count / (own.count + kTrust);
  if (told <= 0) {
    const double mean = all.count == 0 ? kUnknown : trust * own.mean + (1 - trust) * all.mean;
    return std::max(kLeast, mean);
  }
  return std::max(kLeast, told * std::exp(trust * own.factor + (1 - trust) * all.factor));
}

void Cost::take(Kind& kind, double told, double real) {
  ++kind.count;
  const double step = std::max(kStep, 1 / kind.count);
  kind.mean += step * (real - kind.mean);
  if (told > 0)
    kind.factor += step * (std::clamp(std::log(real / told), -kMostFactor, kMostFactor) - kind.factor);
}

void Cost::learn(std::size_t member, std::size_t cls, double told, double real) {
  if (real <= 0) return;
  take(kinds_[kind(cls)], told, real);
  take(pairs_[pair(member, cls)], told, real);
}

}  // namespace yokestream::throttle
