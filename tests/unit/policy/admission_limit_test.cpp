// Until when a query is worth sending: objectives, retries of clients, quotas.
#include "manager_harness.h"

namespace yokestream::policy::testing {
namespace {

TEST(AdmissionLimit, MeasuresAClientsRetryFromItsFirstRequest) {
  auto s = make_settings({make_class(1s, 5s)});
  const auto refused_with = [&](Duration left) {
    ManagerHarness manager(s, {make_engine("a")});
    std::uint64_t id = 1;
    for (; id <= 20; ++id) manager.arrive(id, 5s);  // full, and others wait: only the wanted time counts
    const auto q = manager.arrive(id, left);
    return manager.rejections[q];
  };
  EXPECT_EQ(refused_with(5s), 0);
  EXPECT_EQ(refused_with(3s), 1);  // it first came 2 s ago, wanted within 1 s
}

TEST(AdmissionLimit, RejectsQueriesOverQuotaUnderPressureOnly) {
  auto s = make_settings({make_class(4s, 5s)});
  s.tenants = {{0.5, 2}, {0.5, 1000}};
  s.over_quota_weight_ratio = 0.05;
  ManagerHarness manager(s, {make_engine("a")});
  std::uint64_t id = 1;
  const auto ask = [&](std::uint32_t tenant) {
    QueryArrived q;
    q.query = QueryId{id++};
    q.tenant = TenantId{tenant};
    q.work = 100ms;
    q.time_left = 5s;
    manager.feed(q);
    return q.query;
  };
  std::vector<QueryId> small;
  for (int i = 0; i < 6; ++i) small.push_back(ask(0));  // over its share, but the engine has room
  for (const auto q : small) EXPECT_EQ(manager.attempt_count(q), 1u);
  for (int i = 0; i < 10; ++i) ask(1);
  const auto over = ask(0), within = ask(1);
  manager.advance(40ms);
  EXPECT_EQ(manager.rejections[over], 1);
  EXPECT_EQ(manager.rejections[within], 0);
}

TEST(AdmissionLimit, KeepsTheUsualErrorFreeUnderPressure) {
  ManagerHarness manager(make_settings({make_class(1s, 20s)}), {make_engine("a")});
  std::uint64_t id = 1;
  for (; id <= 20; ++id) manager.arrive(id, 20s);
  const auto tight = manager.arrive(id++, 20s, 900ms), small = manager.arrive(id++, 20s, 50ms);
  manager.advance(40ms);
  EXPECT_EQ(manager.rejections[tight], 1);  // fits the wanted time, but only just
  EXPECT_EQ(manager.rejections[small], 0);
}

TEST(AdmissionLimit, GivesQueriesOverQuotaSpareCapacityOnly) {
  auto s = make_settings({make_class(4s, 8s)});
  s.manager_count = 4;
  s.tenants = {{0.5, 2}, {0.5, 1000}};
  s.over_quota_weight_ratio = 0.05;
  s.may_probe = true;
  s.load_report_source = LoadReportSource::probes;
  s.load_report_fields = {LoadReportField::inflight};
  ManagerHarness manager(s, {make_engine("a")});
  const auto ask = [&](std::uint64_t id, std::uint32_t tenant, double inflight) {
    QueryArrived q;
    q.query = QueryId{id};
    q.tenant = TenantId{tenant};
    q.work = 100ms;
    q.time_left = 8s;
    manager.feed(q);
    manager.feed(ProbeEnded{{"a"}, Outcome::served, 1ms, {inflight}});
    manager.advance(40ms);
    return q.query;
  };
  QueryId over{};
  for (std::uint64_t id = 1; id <= 4; ++id) manager.end_attempt(over = ask(id, 0, 1), Outcome::served);
  manager.advance(400ms);
  over = ask(10, 0, 6);  // six of at most seven or so
  EXPECT_EQ(manager.rejections[over], 1);
  EXPECT_EQ(manager.rejections[ask(11, 1, 6)], 0);
}

TEST(AdmissionLimit, DoesNotTakeAClientInAHurryForARetry) {
  auto s = make_settings({make_class(1s, 5s)});
  const auto refused_with = [&](Duration left, bool repeat) {
    ManagerHarness manager(s, {make_engine("a")});
    std::uint64_t id = 1;
    for (; id <= 20; ++id) manager.arrive(id, 5s);  // full, and others wait: only the wanted time counts
    QueryArrived q;
    q.query = QueryId{id};
    q.work = 100ms;
    q.time_left = left;
    q.is_retry = repeat;
    manager.feed(q);
    return manager.rejections[q.query];
  };
  EXPECT_EQ(refused_with(800ms, false), 0);  // in time whenever it is answered
  EXPECT_EQ(refused_with(800ms, true), 1);
  EXPECT_EQ(refused_with(3s, false), 1);  // it first came 2 s ago, wanted within 1 s
}

}  // namespace
}  // namespace yokestream::policy::testing
