#include "load_share.h"

#include <algorithm>

namespace yokestream::policy {
namespace {

constexpr double kReportWeight = 0.01;  // of one load report in the smoothed counts

}  // namespace

LoadShare::LoadShare(double manager_count)
    : manager_count_(manager_count), share_(1.0 / manager_count), observed_own_(share_) {}

// Failure: managers carry unequal loads, and an even share starves the large ones. Symptom: a busy manager
// rejects while engines are idle. Guard: the share follows the reports; smoothed sums are divided, as single
// counts are small.
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
