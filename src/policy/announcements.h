// Decides which queries are announced to the peers.
//
// Failure: expensive queries of several managers accumulate by chance on one engine until it pages or
// thrashes. Symptom: a few engines slow down by a large factor while others are idle. Guard: unless probes
// already show the load, a query that is expensive enough to justify a message to every peer is announced
// when it is sent and when it ends. A lost message causes one wrong estimate.
#pragma once

#include "yokestream/policy/settings.h"

namespace yokestream::policy {

// Whether engines are probed for the load of other managers; if so, nothing is announced.
bool probing_enabled(const Settings& settings);

class Announcements {
 public:
  explicit Announcements(const Settings& settings)
      : enabled_(settings.may_message && settings.manager_count > 1 && !probing_enabled(settings)),
        unavailable_(!settings.may_message || probing_enabled(settings)),
        peers_(settings.manager_count - 1) {}

  // `mean_work_s`: mean over all arriving queries.
  bool announces(double work_s, double mean_work_s) const {
    return enabled_ && is_costly(work_s, mean_work_s);
  }
  // Whether the query counts toward the load that peers are not told of.
  bool is_unannounced(double work_s, double mean_work_s) const {
    return unavailable_ || !is_costly(work_s, mean_work_s);
  }

 private:
  // The minimum work rises with the number of peers, as each of them costs one message.
  bool is_costly(double work_s, double mean_work_s) const {
    constexpr double kMinMeanWorkRatio = 0.1;
    constexpr double kMeanWorkRatioPerPeer = 0.0065;
    return work_s >= (kMinMeanWorkRatio + kMeanWorkRatioPerPeer * peers_) * mean_work_s;
  }

  const bool enabled_;
  const bool unavailable_;
  const double peers_;
};

}  // namespace yokestream::policy
