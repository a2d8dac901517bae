#include "scheduler/service_times.h"

#include <algorithm>
#include <cmath>

namespace yokestream::scheduler {

namespace bh = boost::histogram;

Distribution::Distribution(double least, double most, double full)
    : least_(least),
      most_(most),
      full_(full),
      histogram_(bh::make_histogram_with(std::vector<float>(), Axis(kBins, least, most))) {}

void Distribution::add(double value) {
  if (!std::isfinite(value) || value <= 0) return;
  histogram_(std::clamp(value, least_, most_ * 0.999));
  if (++count_ < full_) return;
  histogram_ *= 0.5f;
  count_ /= 2;
}

double Distribution::quantile(double part, double otherwise) const {
  if (count_ < kFew) return otherwise;
  double left = part * count_;
  const Axis& axis = histogram_.axis();
  for (int i = 0; i < kBins; ++i) {
    const double here = histogram_.at(i);
    if (here > 0 && left <= here) return axis.value(i + left / here);  // log-linear within the bin
    left -= here;
  }
  return most_;
}

namespace {
constexpr double kLeastStretch = 0.05, kMostStretch = 200;
double guess(double part) { return part <= 0.5 ? 1.0 : 3.0; }  // nobody has shown anything yet
}  // namespace

ServiceTimes::ServiceTimes(std::size_t teams, std::size_t classes)
    : classes_(classes),
      by_team_(teams * classes, Distribution(kLeastStretch, kMostStretch)),
      by_class_(classes, Distribution(kLeastStretch, kMostStretch)) {}

void ServiceTimes::learn(std::size_t team, std::size_t cls, double stretch) {
  by_team_[team * classes_ + cls].add(stretch);
  by_class_[cls].add(stretch);
}

double ServiceTimes::stretch(std::size_t team, std::size_t cls, double part) const {
  return of(team, cls).quantile(part, by_class_[cls].quantile(part, guess(part)));
}

}  // namespace yokestream::scheduler
