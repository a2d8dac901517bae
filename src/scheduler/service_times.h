// Learned distributions of slowdowns: the time from dispatch to response over the unloaded run time, by team
// and class. Also used for forecast errors. Histograms on a log axis (Boost.Histogram) that forget old
// samples: at `max_count` samples all counts are halved. Pure. Memory: kBins floats per distribution.
#pragma once

#include <boost/histogram.hpp>
#include <cstddef>
#include <vector>

namespace yokestream::scheduler {

class Distribution {
 public:
  static constexpr int kBins = 60;
  static constexpr double kMinSamples = 8;

  Distribution(double min_value, double max_value, double max_count = 400);
  void add(double value);
  double count() const { return count_; }
  // Returns `fallback` until there are kMinSamples samples.
  double quantile(double fraction, double fallback) const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram =
      decltype(boost::histogram::make_histogram_with(std::vector<float>(), std::declval<Axis>()));
  double min_value_, max_value_, max_count_;
  Histogram histogram_;
  double count_ = 0;
};

// Falls back from a team's own samples of a class to those of all teams, then to a fixed default.
class ServiceTimes {
 public:
  ServiceTimes(std::size_t teams, std::size_t classes);
  void add(std::size_t team, std::size_t cls, double slowdown);
  double slowdown(std::size_t team, std::size_t cls, double fraction) const;

 private:
  const Distribution& of(std::size_t team, std::size_t cls) const { return by_team_[team * classes_ + cls]; }
  std::size_t classes_;
  std::vector<Distribution> by_team_, by_class_;
};

}  // namespace yokestream::scheduler
