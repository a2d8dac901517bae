// Time limits and quotas under pressure: objectives, retries by clients, tenants over their quota.
#include "manager_harness.h"

namespace yokestream::policy::testing {
namespace {

TEST(AdmissionLimit, CountsTheObjectiveOfARetryFromTheFirstRequest) {
  auto settings = make_settings({make_class(1s, 5s)});
  const auto rejections_with = [&](Duration time_left) {
    ManagerHarness manager(settings, {make_engine("a")});
    std::uint64_t id = 1;
    for (; id <= 20; ++id) manager.arrive(id, 5s);  // saturated: only the objective counts
    const auto query = manager.arrive(id, time_left);
    return manager.rejections[query];
  };
  EXPECT_EQ(rejections_with(5s), 0);
  EXPECT_EQ(rejections_with(3s), 1);  // first requested 2 s ago, objective 1 s
}

TEST(AdmissionLimit, RejectsQueriesOverQuotaOnlyUnderPressure) {
  auto settings = make_settings({make_class(4s, 5s)});
  settings.tenants = {{0.5, 2}, {0.5, 1000}};
  settings.over_quota_weight_ratio = 0.05;
  ManagerHarness manager(settings, {make_engine("a")});
  std::uint64_t id = 1;
  const auto arrive = [&](std::uint32_t tenant) {
    QueryArrived request;
    request.query = QueryId{id++};
    request.tenant = TenantId{tenant};
    request.work = 100ms;
    request.time_left = 5s;
    manager.feed(request);
    return request.query;
  };
  std::vector<QueryId> sent_over_quota;
  for (int i = 0; i < 6; ++i)
    sent_over_quota.push_back(arrive(0));  // over the quota, but the engine has capacity
  for (const auto query : sent_over_quota) EXPECT_EQ(manager.attempt_count(query), 1u);
  for (int i = 0; i < 10; ++i) arrive(1);
  const auto over_quota = arrive(0), within = arrive(1);
  manager.advance(40ms);
  EXPECT_EQ(manager.rejections[over_quota], 1);
  EXPECT_EQ(manager.rejections[within], 0);
}

TEST(AdmissionLimit, ReservesAMarginForThePredictionErrorUnderPressure) {
  ManagerHarness manager(make_settings({make_class(1s, 20s)}), {make_engine("a")});
  std::uint64_t id = 1;
  for (; id <= 20; ++id) manager.arrive(id, 20s);
  const auto tight = manager.arrive(id++, 20s, 900ms), small = manager.arrive(id++, 20s, 50ms);
  manager.advance(40ms);
  EXPECT_EQ(manager.rejections[tight], 1);  // fits the objective, but without the margin
  EXPECT_EQ(manager.rejections[small], 0);
}

TEST(AdmissionLimit, SendsQueriesOverQuotaOnlyToSpareCapacity) {
  auto settings = make_settings({make_class(4s, 8s)});
  settings.manager_count = 4;
  settings.tenants = {{0.5, 2}, {0.5, 1000}};
  settings.over_quota_weight_ratio = 0.05;
  settings.may_probe = true;
  settings.load_report_source = LoadReportSource::probes;
  settings.load_report_fields = {LoadReportField::inflight};
  ManagerHarness manager(settings, {make_engine("a")});
  const auto arrive = [&](std::uint64_t id, std::uint32_t tenant, double inflight) {
    QueryArrived request;
    request.query = QueryId{id};
    request.tenant = TenantId{tenant};
    request.work = 100ms;
    request.time_left = 8s;
    manager.feed(request);
    manager.feed(ProbeEnded{{"a"}, Outcome::served, 1ms, {inflight}});
    manager.advance(40ms);
    return request.query;
  };
  QueryId over_quota{};
  for (std::uint64_t id = 1; id <= 4; ++id)
    manager.end_attempt(over_quota = arrive(id, 0, 1), Outcome::served);
  manager.advance(400ms);
  over_quota = arrive(10, 0, 6);  // 6 of about 7 queries that saturate the engine
  EXPECT_EQ(manager.rejections[over_quota], 1);
  EXPECT_EQ(manager.rejections[arrive(11, 1, 6)], 0);
}

TEST(AdmissionLimit, DoesNotTreatAnImpatientClientAsARetry) {
  auto settings = make_settings({make_class(1s, 5s)});
  const auto rejections_with = [&](Duration time_left, bool is_retry) {
    ManagerHarness manager(settings, {make_engine("a")});
    std::uint64_t id = 1;
    for (; id <= 20; ++id) manager.arrive(id, 5s);  // saturated: only the objective counts
    QueryArrived request;
    request.query = QueryId{id};
    request.work = 100ms;
    request.time_left = time_left;
    request.is_retry = is_retry;
    manager.feed(request);
    return manager.rejections[request.query];
  };
  EXPECT_EQ(rejections_with(800ms, false), 0);  // any response before its deadline meets the objective
  EXPECT_EQ(rejections_with(800ms, true), 1);
  EXPECT_EQ(rejections_with(3s, false), 1);  // first requested 2 s ago, objective 1 s
}

}  // namespace
}  // namespace yokestream::policy::testing
