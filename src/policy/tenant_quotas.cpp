#include "tenant_quotas.h"

#include <algorithm>

namespace yokestream::policy {
namespace {

constexpr double kQuotaSlack = 1.2;    // of the quota: this manager's share of it is a guess
constexpr double kBurstSeconds = 2.0;  // seconds of quota that may come at once
constexpr double kFullBucket = 1e9;

}  // namespace

TenantQuotas::TenantQuotas(const Settings& settings, Time now)
    : tenants_(settings.tenants),
      over_quota_weight_ratio_(settings.over_quota_weight_ratio),
      buckets_(settings.tenants.size(), Bucket{kFullBucket, now}) {}

bool TenantQuotas::exceeds_quota(TenantId tenant, Time now, double load_share) {
  if (index_of(tenant) >= buckets_.size() || over_quota_weight_ratio_ >= 1) return false;
  const double quota_per_s = tenants_[index_of(tenant)].quota_per_s;
  if (quota_per_s <= 0) return false;
  Bucket& bucket = buckets_[index_of(tenant)];
  const double rate_per_s = quota_per_s * load_share * kQuotaSlack;
  bucket.tokens =
      std::min(bucket.tokens + rate_per_s * to_seconds(now - bucket.filled_at), rate_per_s * kBurstSeconds);
  bucket.filled_at = now;
  if (bucket.tokens < 1) return true;
  bucket.tokens -= 1;
  return false;
}

}  // namespace yokestream::policy
