#include "tenant_quotas.h"

#include <algorithm>

namespace yokestream::policy {
namespace {

constexpr double kQuotaToleranceFactor = 1.2;  // this manager's share of the quota is only an estimate
constexpr double kMaxBurstSeconds = 2.0;       // bucket size, in seconds at the quota's rate
constexpr double kInitialTokens = 1e9;         // more than any bucket holds: a tenant starts with a full one

}  // namespace

TenantQuotas::TenantQuotas(const Settings& settings, Time now)
    : tenants_(settings.tenants),
      over_quota_weight_ratio_(settings.over_quota_weight_ratio),
      buckets_(settings.tenants.size(), Bucket{kInitialTokens, now}) {}

bool TenantQuotas::exceeds_quota(TenantId tenant, Time now, double load_share) {
  if (index_of(tenant) >= buckets_.size() || over_quota_weight_ratio_ >= 1) return false;
  const double quota_per_s = tenants_[index_of(tenant)].quota_per_s;
  if (quota_per_s <= 0) return false;
  Bucket& bucket = buckets_[index_of(tenant)];
  const double rate_per_s = quota_per_s * load_share * kQuotaToleranceFactor;
  bucket.tokens = std::min(bucket.tokens + rate_per_s * to_seconds(now - bucket.filled_at),
                           rate_per_s * kMaxBurstSeconds);
  bucket.filled_at = now;
  if (bucket.tokens < 1) return true;
  bucket.tokens -= 1;
  return false;
}

}  // namespace yokestream::policy
