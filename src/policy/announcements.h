// Which queries are announced to the peers.
//
// Failure: at an engine shared by many managers costly queries pile up by chance until it pages or thrashes.
// Symptom: a few engines slow down by many times while others are idle. Guard: where no probes show it, a
// query that is worth the price of messages to every peer is announced as it is sent and as it ends. A lost
// message costs one wrong estimate.
#pragma once

#include "yokestream/policy/settings.h"

namespace yokestream::policy {

// Whether engines are probed for what other managers run; nothing is announced then.
bool probing_enabled(const Settings& settings);

class Announcements {
 public:
  explicit Announcements(const Settings& settings)
      : enabled_(settings.may_message && settings.manager_count > 1 && !probing_enabled(settings)),
        silent_(!settings.may_message || probing_enabled(settings)),
        peers_(settings.manager_count - 1) {}

  // `mean_work_s`: of all that arrives.
  bool announces(double work_s, double mean_work_s) const {
    return enabled_ && is_costly(work_s, mean_work_s);
  }
  // Whether such a query counts among those that peers are not told of.
  bool is_unannounced(double work_s, double mean_work_s) const {
    return silent_ || !is_costly(work_s, mean_work_s);
  }

 private:
  bool is_costly(double work_s, double mean_work_s) const {
    constexpr double kLeastMeanWorks = 0.1;       // however few peers there are
    constexpr double kMeanWorksPerPeer = 0.0065;  // price of one message
    return work_s >= (kLeastMeanWorks + kMeanWorksPerPeer * peers_) * mean_work_s;
  }

  const bool enabled_;
  const bool silent_;
  const double peers_;
};

}  // namespace yokestream::policy
