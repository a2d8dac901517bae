#include "load_share.h"

#include <algorithm>

namespace yokestream::policy {
namespace {

constexpr double kReportWeight = 0.01;  // weight of one load report in the moving averages

}  // namespace

LoadShare::LoadShare(double manager_count)
    : manager_count_(manager_count), share_(1.0 / manager_count), observed_own_(share_) {}

// Failure: managers are unequally loaded, and equal shares starve the busy ones. Symptom: a busy manager
// rejects queries while engines are idle. Guard: the share follows the load reports. It is the quotient of
// two moving averages, as the counts of a single report are too small to divide.
void LoadShare::observe(std::size_t own_queries, double all_queries) {
  observed_own_ += kReportWeight * (static_cast<double>(own_queries) - observed_own_);
  observed_all_ += kReportWeight * (all_queries - observed_all_);
  recompute();
}

double LoadShare::set_manager_count(double manager_count) {
  const double factor = manager_count_ / manager_count;
  manager_count_ = manager_count;
  share_ = std::clamp(share_ * factor, 1 / manager_count, 1.0);
  return factor;
}

void LoadShare::restore(double observed_own, double observed_all) {
  observed_own_ = observed_own;
  observed_all_ = observed_all;
  recompute();
}

void LoadShare::recompute() { share_ = std::clamp(observed_own_ / observed_all_, 1.0 / manager_count_, 1.0); }

}  // namespace yokestream::policy
