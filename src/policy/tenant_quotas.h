// Whether a tenant asks for more than its quota: a token bucket a tenant, filled at this manager's share of
// the quota. What exceeds it is not rejected for that alone, but has a lower weight when capacity is short.
#pragma once

#include <vector>

#include "time_units.h"

namespace yokestream::policy {

class TenantQuotas {
 public:
  TenantQuotas(const Settings& settings, Time now);

  // Takes one token; true: the tenant had none left. `load_share`: this manager's share of the load.
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
