// Learnt distributions: how long requests of a class and team take from release to answer, in times of their
// unloaded time, and how quoted waits compare with those that came. Histograms on a log axis
// (Boost.Histogram) that forget: at `full` outcomes all counts are halved. Pure; memory: kBins floats a
// distribution.
#pragma once

#include <boost/histogram.hpp>
#include <cstddef>
#include <vector>

namespace yokestream::scheduler {

class Distribution {
 public:
  static constexpr int kBins = 60;

  Distribution(double least, double most, double full = 400);
  void add(double value);
  double count() const { return count_; }
  // `otherwise` until `kFew` outcomes are known.
  double quantile(double part, double otherwise) const;
  static constexpr double kFew = 8;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram =
      decltype(boost::histogram::make_histogram_with(std::vector<float>(), std::declval<Axis>()));
  double least_, most_, full_;
  Histogram histogram_;
  double count_ = 0;
};

// By team and class; what a team has not shown yet is taken from all teams, what nobody has shown from a
// guess.
class ServiceTimes {
 public:
  ServiceTimes(std::size_t teams, std::size_t classes);
  void learn(std::size_t team, std::size_t cls, double stretch);  // time taken over unloaded time
  double stretch(std::size_t team, std::size_t cls, double part) const;

 private:
  const Distribution& of(std::size_t team, std::size_t cls) const { return by_team_[team * classes_ + cls]; }
  std::size_t classes_;
  std::vector<Distribution> by_team_, by_class_;
};

}  // namespace yokestream::scheduler
