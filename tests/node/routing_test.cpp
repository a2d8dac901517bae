// Routing in the dispatcher: which engines an area's requests may use, how a new routing table affects queued
// and running requests, and what happens when the lease expires.
#include <doctest/doctest.h>

#include "helper.h"
#include "routing/router.h"

namespace yokestream::test {
namespace {

using policy::TableGroupId;
using routing::Rule;

constexpr std::uint64_t kArea = 17, kOtherArea = 18;
const char* const kSourceEndpoint = "127.0.0.1:7001";
const char* const kTargetEndpoint = "127.0.0.1:7002";

config::Config config_with_movable_areas() {
  auto config = config::decode_config(config_text());
  config.fleet.enabled = true;
  config.fleet.movable_areas = {TableGroupId{kOtherArea}, TableGroupId{kArea}};
  return config;
}

routing::RouteTable make_table(std::int64_t epoch, std::uint32_t moved, Rule::Loads loads) {
  routing::RouteTable out;
  out.epoch = epoch;
  out.origins = {{{}, {}, {"e1", "e4"}, {}}, {{}, {}, {"e2", "e3"}, {}}};
  out.rules[TableGroupId{kArea}] = {0, 1, moved, loads};
  return out;
}

struct RoutedDispatcher : DispatcherHarness {
  RoutedDispatcher() : DispatcherHarness(config_with_movable_areas()) {
    update_engine_list(engine_json("e2", kTargetEndpoint));
    advance(100ms);
  }
  static std::string engine_json(const std::string& uid, const std::string& at) {
    return R"({"uid":")" + uid + R"(","endpoint":")" + at + R"(","az":"z","model":"m","state":"up"})";
  }
  routing::RouteTable current_table = make_table(0, 0, Rule::Loads::from);
  void apply_route(std::int64_t epoch, std::uint32_t moved, Rule::Loads loads, Duration lease = 60s) {
    current_table = make_table(epoch, moved, loads);
    extend_lease(lease);
  }
  void extend_lease(Duration lease) { dispatcher.apply_routes(now, current_table, now + lease); }
  void send_look(dispatch::CallId call) { send_request(call, 0, 4s, 1, kArea); }
  void send_load(dispatch::CallId call) { send_request(call, 1, 4s, 1, kArea); }
  std::string engine_of_only_attempt() { return engine_addresses[last_attempt().connection]; }
  long count_sent(const std::string& line) const {
    return std::count(port_calls.begin(), port_calls.end(), line);
  }
  std::string response_kind(dispatch::CallId call) {
    return replies_to(call).empty() ? "nothing" : replies_to(call)[0].kind;
  }
};

TEST_CASE_FIXTURE(RoutedDispatcher,
                  "a movable area is closed until a routing table arrives; other areas are open") {
  send_look(1);
  send_load(2);
  CHECK(response_kind(1) == "refused");
  CHECK(response_kind(2) == "refused");
  CHECK(attempts.empty());
  send_request(3);
  CHECK(attempts.size() == 1);
  apply_route(0, 0, Rule::Loads::from);
  send_look(4);
  CHECK(engine_of_only_attempt() == kSourceEndpoint);
  send_request(5, 0, 4s, 1, kOtherArea);  // the lease is valid and the area has no rule: any engine
  CHECK(attempts.size() == 3);
}

TEST_CASE_FIXTURE(
    RoutedDispatcher,
    "a share of the idempotent requests moves, selected by request id; loads stay at the source") {
  apply_route(0, Rule::kTrafficBuckets / 4, Rule::Loads::from);
  int moved = 0;
  for (dispatch::CallId call = 1; call <= 400; ++call) {
    send_look(call);
    moved += engine_of_only_attempt() == kTargetEndpoint;
    respond(write_last_attempt(), ResponseType::result);
    send_load(1000 + call);
    CHECK(engine_of_only_attempt() == kSourceEndpoint);
    respond(write_last_attempt(), ResponseType::result);
  }
  CHECK(moved > 70);
  CHECK(moved < 130);
}

TEST_CASE_FIXTURE(RoutedDispatcher, "all attempts of a request use one side until the area's rule changes") {
  apply_route(0, 0, Rule::Loads::from);
  send_look(1);
  CHECK(engine_of_only_attempt() == kSourceEndpoint);
  update_engine_list(engine_json("e4", "127.0.0.1:7004"));  // also at the source
  handle(dispatch::EngineDisconnected{last_attempt().connection, "refused"});
  advance(100ms);
  REQUIRE(attempts.size() == 1);
  CHECK(engine_of_only_attempt() == "127.0.0.1:7004");
  apply_route(1, Rule::kTrafficBuckets,
              Rule::Loads::from);  // still queued: withdrawn and sent to the target
  CHECK(engine_of_only_attempt() == kTargetEndpoint);
  CHECK(dispatcher.conforms_to_routes());
  respond(write_last_attempt(), ResponseType::result);
  CHECK(response_kind(1) == "served");
}

TEST_CASE_FIXTURE(
    RoutedDispatcher,
    "loads are rejected while an area switches, until the last one ends, and then use the target") {
  apply_route(0, Rule::kTrafficBuckets, Rule::Loads::from);
  send_load(1);
  const Attempt first = write_last_attempt();
  apply_route(1, Rule::kTrafficBuckets, Rule::Loads::nowhere);
  CHECK_FALSE(dispatcher.conforms_to_routes());  // the load still runs at the source
  send_load(2);
  CHECK(response_kind(2) == "refused");
  send_look(3);
  CHECK(engine_of_only_attempt() == kTargetEndpoint);
  respond(first, ResponseType::result);
  CHECK(response_kind(1) == "served");
  CHECK(dispatcher.conforms_to_routes());
  apply_route(2, Rule::kTrafficBuckets, Rule::Loads::to);
  send_load(4);
  CHECK(engine_of_only_attempt() == kTargetEndpoint);
}

TEST_CASE_FIXTURE(RoutedDispatcher,
                  "a load whose response was lost while its area closed is not retried at the target") {
  apply_route(0, 0, Rule::Loads::from);
  send_load(1);
  const Attempt first = write_last_attempt();
  apply_route(1, 0, Rule::Loads::nowhere);
  handle(dispatch::EngineDisconnected{first.connection, "reset"});
  CHECK(response_kind(1) == "failed");  // the engine may have executed it
  CHECK(dispatcher.conforms_to_routes());
  apply_route(2, 0, Rule::Loads::to);
  CHECK(count_sent("send " + first.id) == 1);
}

TEST_CASE_FIXTURE(RoutedDispatcher,
                  "requests queued in the policy module are rejected at once when their area closes") {
  apply_route(0, 0, Rule::Loads::from, 500ms);
  send_load(1);
  const Attempt first = write_last_attempt();
  update_engine_list(R"({"uid":"e1","endpoint":"127.0.0.1:7001","az":"z","model":"m","state":"draining"})");
  send_load(2);
  send_look(3);
  advance(400ms);
  CHECK(response_kind(2) == "nothing");  // the origin's only engine drains, so both wait
  CHECK(response_kind(3) == "nothing");
  advance(101ms);  // the lease expires without an extension
  CHECK(response_kind(2) == "refused");
  CHECK(response_kind(3) == "refused");
  CHECK(response_kind(1) == "nothing");  // a running attempt continues
  CHECK_FALSE(dispatcher.conforms_to_routes());
  respond(first, ResponseType::result);
  CHECK(response_kind(1) == "served");
  CHECK(dispatcher.conforms_to_routes());
}

TEST_CASE_FIXTURE(
    RoutedDispatcher,
    "engines that are added later join their origins, and a removed one does not affect the others") {
  apply_route(0, 0, Rule::Loads::to);
  update_engine_list(engine_json("e9", "127.0.0.1:7009"));
  update_engine_list(R"({"uid":"e2","state":"removed"})");
  update_engine_list(engine_json("e3", "127.0.0.1:7003"));
  send_load(1);
  CHECK(engine_of_only_attempt() == "127.0.0.1:7003");
  respond(write_last_attempt(), ResponseType::result);
  advance(70s);  // e2 is dropped, and its slot is reused by e8
  update_engine_list(engine_json("e8", "127.0.0.1:7008"));
  extend_lease(60s);
  for (dispatch::CallId call = 2; call < 10; ++call) {
    send_load(call);
    CHECK(engine_of_only_attempt() == "127.0.0.1:7003");
    respond(write_last_attempt(), ResponseType::result);
  }
}

TEST_CASE("engines beyond the number of slots belong to no origin, and serve areas that are not movable") {
  routing::Router router;
  router.set_movable_areas({TableGroupId{kArea}});
  routing::RouteTable any = make_table(0, 0, Rule::Loads::from);
  any.origins[0] = {};  // contains all engines
  router.install(any);
  router.extend_lease(Time::max());
  config::Member member;
  for (std::size_t i = 0; i <= policy::kMaxEngineSlots; ++i)
    member.uid = "e" + std::to_string(i), router.register_engine(member);
  const auto route = router.route(Time{}, TableGroupId{kArea}, true, "x");
  CHECK(route.allowed_engines->count() == policy::kMaxEngineSlots);
  CHECK(router.slot_of(member.uid) == policy::kMaxEngineSlots);
  CHECK_FALSE(router.route(Time{}, TableGroupId{kOtherArea}, true, "x").allowed_engines);
  router.retain_engines([](const std::string& uid) { return uid != "e7"; });
  CHECK_FALSE((*router.route(Time{}, TableGroupId{kArea}, true, "x").allowed_engines)[7]);
  member.uid = "new";
  CHECK(router.register_engine(member) == 7);
}

TEST_CASE_FIXTURE(
    RoutedDispatcher,
    "an attempt whose lease expires before it is written counts as never sent, and may be retried") {
  extend_lease(1s);
  send_load(1);  // not idempotent
  const auto first = last_attempt().id;
  CHECK(attempts.size() == 1);
  extend_lease(10s);  // extended for attempts that are sent from now on
  advance(900ms);
  CHECK(attempts.size() == 1);
  CHECK(count_sent("send " + first) == 1);
  advance(200ms);  // still queued at 1 s: withdrawn; as it never ran, even a load may be retried
  CHECK(count_sent("send " + first) == 2);
  respond(write_last_attempt(), ResponseType::result);
  REQUIRE(replies_to(1).size() == 1);
  CHECK(replies_to(1)[0].kind == "served");
}

TEST_CASE_FIXTURE(RoutedDispatcher,
                  "an attempt that was written continues after its lease expires, and no new one starts") {
  extend_lease(300ms);
  send_load(1);
  const Attempt first = write_last_attempt();
  advance(400ms);
  send_load(2);
  CHECK(count_sent("send " + first.id) == 1);
  CHECK(attempts.size() == 1);
  respond(first, ResponseType::result);
  REQUIRE(replies_to(1).size() == 1);
  CHECK(replies_to(1)[0].kind == "served");
}

}  // namespace
}  // namespace yokestream::test
