// Estimates what a request costs, in core seconds: the client's estimate, corrected by what such requests
// have really cost.
//
// The correction is learned per class and, once a pair of tenant and class has a few outcomes, per pair, so
// that a tenant that reports a tenth of the truth is soon charged the truth. Without a client's estimate the
// mean cost is used. Memory: one record per pair of tenant and class, and one per class for owners that the
// settings do not name. A class out of range counts as the last one.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace yokestream::throttle {

class CostEstimator {
 public:
  CostEstimator(std::size_t tenants, std::size_t classes);
  // `reported_s` is the client's estimate; 0: none.
  double estimate_s(std::size_t tenant, std::size_t query_class, double reported_s) const;
  // Learns from a finished request. `measured_s` is what it really cost; 0: not known, so ignored.
  void record(std::size_t tenant, std::size_t query_class, double reported_s, double measured_s);

 private:
  struct Statistics {
    double count = 0;
    double log_ratio = 0;  // mean logarithm of measured over reported cost
    double mean_s = 0;     // measured cost
  };
  static void update(Statistics& statistics, double reported_s, double measured_s);
  std::size_t class_index(std::size_t query_class) const { return std::min(query_class, classes_ - 1); }
  // Unknown tenants share the slot after the last tenant.
  std::size_t pair_index(std::size_t tenant, std::size_t query_class) const {
    return std::min(tenant, tenants_) * classes_ + class_index(query_class);
  }

  std::size_t tenants_, classes_;
  std::vector<Statistics> by_class_, by_pair_;
};

}  // namespace yokestream::throttle
