// Estimates this manager's share of the load on the engines.
//
// At least 1 / manager count; larger if load reports show that this manager runs a larger part of the
// queries.
#pragma once

#include <cstddef>

namespace yokestream::policy {

class LoadShare {
 public:
  explicit LoadShare(double manager_count);

  // Above 0 and at most 1.
  double value() const { return share_; }
  double manager_count() const { return manager_count_; }

  // Adds a load report: this manager's queries on the engine, and all queries on it.
  void observe(std::size_t own_queries, double all_queries);
  // Returns the factor by which this manager's share changes.
  double set_manager_count(double manager_count);

  // Learned state: moving averages of this manager's queries and of all queries.
  double observed_own() const { return observed_own_; }
  double observed_all() const { return observed_all_; }
  void restore(double observed_own, double observed_all);

 private:
  void recompute();

  double manager_count_;
  double share_;
  double observed_own_;
  double observed_all_ = 1;
};

}  // namespace yokestream::policy
