// The share of the load on the engines that this manager carries.
//
// At least one over the count of managers; larger where load reports show that this manager's queries are a
// larger part of what runs.
#pragma once

#include <cstddef>

namespace yokestream::policy {

class LoadShare {
 public:
  explicit LoadShare(double manager_count);

  // Share of the load, above 0 and at most 1.
  double value() const { return share_; }
  double manager_count() const { return manager_count_; }

  // A load report: own queries on the engine, and all that it runs.
  void observe(std::size_t own_queries, double all_queries);
  // Returns the factor by which this manager's part changes.
  double set_manager_count(double manager_count);

  // Learned state: smoothed counts of queries, own and all.
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
