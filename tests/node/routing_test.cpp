// Routes: which engines an area's requests may go to, how that changes under requests that wait or are out,
// and what holds when the grant ends.
#include <doctest/doctest.h>

#include "helper.h"
#include "routing/router.h"

namespace yokestream::test {
namespace {

using policy::TableGroupId;
using routing::Rule;

constexpr std::uint64_t kArea = 17, kOther = 18;
const char* const kOld = "127.0.0.1:7001";
const char* const kNew = "127.0.0.1:7002";

config::Config routed() {
  auto config = config::decode_config(config_text());
  config.fleet.on = true;
  config.fleet.movable_areas = {TableGroupId{kOther}, TableGroupId{kArea}};
  return config;
}

routing::RouteTable table(std::int64_t epoch, std::uint32_t moved, Rule::Loads loads) {
  routing::RouteTable out;
  out.epoch = epoch;
  out.origins = {{{}, {}, {"e1", "e4"}, {}}, {{}, {}, {"e2", "e3"}, {}}};
  out.rules[TableGroupId{kArea}] = {0, 1, moved, loads};
  return out;
}

struct Routed : Core {
  Routed() : Core(routed()) {
    list(member("e2", kNew));
    pass(100ms);
  }
  static std::string member(const std::string& uid, const std::string& at) {
    return R"({"uid":")" + uid + R"(","endpoint":")" + at + R"(","az":"z","model":"m","state":"up"})";
  }
  routing::RouteTable now_there = table(0, 0, Rule::Loads::from);
  void route(std::int64_t epoch, std::uint32_t moved, Rule::Loads loads, Duration granted = 60s) {
    now_there = table(epoch, moved, loads);
    grant(granted);
  }
  void grant(Duration granted) { core.apply_routes(now, now_there, now + granted); }
  void look(dispatch::CallId call) { arrive(call, 0, 4s, 1, kArea); }
  void load(dispatch::CallId call) { arrive(call, 1, 4s, 1, kArea); }
  std::string place() { return where[only().link]; }  // of the attempt sent last
  long count(const std::string& words) const { return std::count(said.begin(), said.end(), words); }
  std::string told(dispatch::CallId call) { return to(call).empty() ? "nothing" : to(call)[0].kind; }
};

TEST_CASE_FIXTURE(Routed, "a movable area is closed until a routing table has come; others are open") {
  look(1);
  load(2);
  CHECK(told(1) == "refused");
  CHECK(told(2) == "refused");
  CHECK(out.empty());
  arrive(3);
  CHECK(out.size() == 1);
  route(0, 0, Rule::Loads::from);
  look(4);
  CHECK(place() == kOld);
  arrive(5, 0, 4s, 1, kOther);  // granted, and no rule of it: any engine
  CHECK(out.size() == 3);
}

TEST_CASE_FIXTURE(Routed, "a share of idempotent requests moves, by request; loads stay where they are") {
  route(0, Rule::kTrafficBuckets / 4, Rule::Loads::from);
  int moved = 0;
  for (dispatch::CallId call = 1; call <= 400; ++call) {
    look(call);
    moved += place() == kNew;
    answer(written(), ResponseType::result);
    load(1000 + call);
    CHECK(place() == kOld);
    answer(written(), ResponseType::result);
  }
  CHECK(moved > 70);
  CHECK(moved < 130);
}

TEST_CASE_FIXTURE(Routed, "a request stays on its side through its attempts, and moves with its rule") {
  route(0, 0, Rule::Loads::from);
  look(1);
  CHECK(place() == kOld);
  list(member("e4", "127.0.0.1:7004"));  // on the old side, too
  hear(dispatch::EngineDisconnected{only().link, "refused"});
  pass(100ms);
  REQUIRE(out.size() == 1);
  CHECK(place() == "127.0.0.1:7004");
  route(1, Rule::kTrafficBuckets,
        Rule::Loads::from);  // queued still: it is taken back and goes to the other side
  CHECK(place() == kNew);
  CHECK(core.conforms_to_routes());
  answer(written(), ResponseType::result);
  CHECK(told(1) == "served");
}

TEST_CASE_FIXTURE(Routed,
                  "loads: closed at once, kept to once the last one has ended, then on the other side") {
  route(0, Rule::kTrafficBuckets, Rule::Loads::from);
  load(1);
  const Out first = written();
  route(1, Rule::kTrafficBuckets, Rule::Loads::nowhere);
  CHECK_FALSE(core.conforms_to_routes());  // it is out on the old side
  load(2);
  CHECK(told(2) == "refused");
  look(3);
  CHECK(place() == kNew);
  answer(first, ResponseType::result);
  CHECK(told(1) == "served");
  CHECK(core.conforms_to_routes());
  route(2, Rule::kTrafficBuckets, Rule::Loads::to);
  load(4);
  CHECK(place() == kNew);
}

TEST_CASE_FIXTURE(Routed,
                  "a load whose answer was lost as its area closed is not run again on the other side") {
  route(0, 0, Rule::Loads::from);
  load(1);
  const Out first = written();
  route(1, 0, Rule::Loads::nowhere);
  hear(dispatch::EngineDisconnected{first.link, "reset"});
  CHECK(told(1) == "failed");  // it may have run
  CHECK(core.conforms_to_routes());
  route(2, 0, Rule::Loads::to);
  CHECK(count("req " + first.id) == 1);
}

TEST_CASE_FIXTURE(Routed, "what is queued in the decision module is rejected at once when its area closes") {
  route(0, 0, Rule::Loads::from, 500ms);
  load(1);
  const Out first = written();
  list(R"({"uid":"e1","endpoint":"127.0.0.1:7001","az":"z","model":"m","state":"draining"})");
  load(2);
  look(3);
  pass(400ms);
  CHECK(told(2) == "nothing");  // its origin drains: they wait
  CHECK(told(3) == "nothing");
  pass(101ms);  // the grant ends, and nobody renews it
  CHECK(told(2) == "refused");
  CHECK(told(3) == "refused");
  CHECK(told(1) == "nothing");  // what is out goes on
  CHECK_FALSE(core.conforms_to_routes());
  answer(first, ResponseType::result);
  CHECK(told(1) == "served");
  CHECK(core.conforms_to_routes());
}

TEST_CASE_FIXTURE(Routed,
                  "engines that come later are in their origins, and one that goes leaves the others be") {
  route(0, 0, Rule::Loads::to);
  list(member("e9", "127.0.0.1:7009"));
  list(R"({"uid":"e2","state":"removed"})");
  list(member("e3", "127.0.0.1:7003"));
  load(1);
  CHECK(place() == "127.0.0.1:7003");
  answer(written(), ResponseType::result);
  pass(70s);  // e2 is forgotten, and its slot goes to another
  list(member("e8", "127.0.0.1:7008"));
  grant(60s);
  for (dispatch::CallId call = 2; call < 10; ++call) {
    load(call);
    CHECK(place() == "127.0.0.1:7003");
    answer(written(), ResponseType::result);
  }
}

TEST_CASE("more engines than there are slots: those beyond are in no origin, and are open to other areas") {
  routing::Router all;
  all.set_movable_areas({TableGroupId{kArea}});
  routing::RouteTable any = table(0, 0, Rule::Loads::from);
  any.origins[0] = {};  // takes all
  all.install(any);
  all.extend_lease(Time::max());
  config::Member member;
  for (std::size_t i = 0; i <= policy::kMaxEngineSlots; ++i)
    member.uid = "e" + std::to_string(i), all.register_engine(member);
  const auto route = all.route(Time{}, TableGroupId{kArea}, true, "x");
  CHECK(route.allowed_engines->count() == policy::kMaxEngineSlots);
  CHECK(all.slot_of(member.uid) == policy::kMaxEngineSlots);
  CHECK_FALSE(all.route(Time{}, TableGroupId{kOther}, true, "x").allowed_engines);
  all.retain_engines([](const std::string& uid) { return uid != "e7"; });
  CHECK_FALSE((*all.route(Time{}, TableGroupId{kArea}, true, "x").allowed_engines)[7]);
  member.uid = "new";
  CHECK(all.register_engine(member) == 7);
}

TEST_CASE_FIXTURE(
    Routed, "an attempt whose lease ends before it was written ends as never sent, and may be retried") {
  grant(1s);
  load(1);  // a load: it may not run twice
  const auto first = only().id;
  CHECK(out.size() == 1);
  grant(10s);  // renewed: what is sent from here on leaves before that
  pass(900ms);
  CHECK(out.size() == 1);
  CHECK(count("req " + first) == 1);
  pass(200ms);  // still queued at 1 s: taken back, and as it never ran a load may go again
  CHECK(count("req " + first) == 2);
  answer(written(), ResponseType::result);
  REQUIRE(to(1).size() == 1);
  CHECK(to(1)[0].kind == "served");
}

TEST_CASE_FIXTURE(
    Routed,
    "an attempt that has left goes on past its grant, and nothing new begins under one that is over") {
  grant(300ms);
  load(1);
  const Out first = written();
  pass(400ms);
  load(2);
  CHECK(count("req " + first.id) == 1);
  CHECK(out.size() == 1);
  answer(first, ResponseType::result);
  REQUIRE(to(1).size() == 1);
  CHECK(to(1)[0].kind == "served");
}

}  // namespace
}  // namespace yokestream::test
