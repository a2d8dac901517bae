// Detects tenants that exceed their quota: one token bucket per tenant, filled at this manager's share of the
// quota. Queries over the quota are not rejected for that alone, but weigh less when capacity is short.
#pragma once

#include <vector>

#include "time_units.h"

namespace yokestream::policy {

class TenantQuotas {
 public:
  TenantQuotas(const Settings& settings, Time now);

  // Takes one token; returns true if the tenant has none left. `load_share`: this manager's share of the
  // load.
  bool exceeds_quota(TenantId tenant, Time now, double load_share);

 private:
  struct Bucket {
    double tokens = 0;  // queries
    Time filled_at{};
  };

  const std::vector<TenantSettings> tenants_;
  const double over_quota_weight_ratio_;
  std::vector<Bucket> buckets_;
};

}  // namespace yokestream::policy
