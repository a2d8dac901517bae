#include "scheduler/service_times.h"

#include <algorithm>
#include <cmath>

namespace yokestream::scheduler {

namespace bh = boost::histogram;

Distribution::Distribution(double min_value, double max_value, double max_count)
    : min_value_(min_value),
      max_value_(max_value),
      max_count_(max_count),
      histogram_(bh::make_histogram_with(std::vector<float>(), Axis(kBins, min_value, max_value))) {}

void Distribution::add(double value) {
  if (!std::isfinite(value) || value <= 0) return;
  histogram_(std::clamp(value, min_value_, max_value_ * 0.999));
  if (++count_ < max_count_) return;
  histogram_ *= 0.5f;
  count_ /= 2;
}

double Distribution::quantile(double fraction, double fallback) const {
  if (count_ < kMinSamples) return fallback;
  double remaining = fraction * count_;
  const Axis& axis = histogram_.axis();
  for (int i = 0; i < kBins; ++i) {
    const double in_bin = histogram_.at(i);
    if (in_bin > 0 && remaining <= in_bin)
      return axis.value(i + remaining / in_bin);  // log-linear within the bin
    remaining -= in_bin;
  }
  return max_value_;
}

namespace {
constexpr double kMinSlowdown = 0.05, kMaxSlowdown = 200;
double default_slowdown(double fraction) { return fraction <= 0.5 ? 1.0 : 3.0; }  // without samples
}  // namespace

ServiceTimes::ServiceTimes(std::size_t teams, std::size_t classes)
    : classes_(classes),
      by_team_(teams * classes, Distribution(kMinSlowdown, kMaxSlowdown)),
      by_class_(classes, Distribution(kMinSlowdown, kMaxSlowdown)) {}

void ServiceTimes::add(std::size_t team, std::size_t cls, double slowdown) {
  by_team_[team * classes_ + cls].add(slowdown);
  by_class_[cls].add(slowdown);
}

double ServiceTimes::slowdown(std::size_t team, std::size_t cls, double fraction) const {
  return of(team, cls).quantile(fraction, by_class_[cls].quantile(fraction, default_slowdown(fraction)));
}

}  // namespace yokestream::scheduler
