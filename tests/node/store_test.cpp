// The store's client: the gateway's JSON both ways, addresses, and calls to the stand-in store over a way
// that fails at each step.
#include <doctest/doctest.h>

#include <set>
#include <thread>

#include "helper.h"
#include "standin/link.h"
#include "standin/store_server.h"
#include "store/client.h"
#include "store/watcher.h"
#include "store/wire.h"

namespace yokestream::test {
namespace {

using namespace store;
using net::now;
using standin::Link;
using standin::StoreServer;

constexpr auto kSoon = 2s;

TEST_CASE("base64 round, and what is none") {
  Steps steps(1);
  for (int i = 0; i < 300; ++i) {
    std::string bytes(steps.below(70), '\0');
    for (char& c : bytes) c = static_cast<char>(steps.below(256));
    REQUIRE(from_base64(to_base64(bytes)) == bytes);
  }
  for (const char* bad : {"a", "ab", "abc", "a===", "ab!=", "YQ", "YQ==x", "YR=="})
    CHECK_FALSE(from_base64(bad));
}

TEST_CASE("replies that make no sense count as none: unknown where the call writes, failed where it reads") {
  const Request txn = Txn{{}, {Put{"k", "v", {}}}, {}}, range = Range{"k", {}, 0};
  Steps steps(2);
  const std::string good =
      R"({"header":{"revision":"7"},"succeeded":true,"responses":[{"response_put":{}}]})";
  CHECK(std::get<Completed>(decode(txn, 200, good)).revision == 7);
  for (std::size_t size = 0; size < good.size(); ++size)
    REQUIRE(std::holds_alternative<OutcomeUnknown>(decode(txn, 200, good.substr(0, size))));
  for (const char* bad :
       {"[]", "{\"header\":7}", R"({"header":{"revision":"x"}})", R"({"header":{"revision":"7"},"kvs":{}})",
        R"({"header":{"revision":"7"},"kvs":[{"key":"?"}]})", R"({"header":{"revision":"-1"}})",
        "\xff\xfe"}) {
    CHECK(std::holds_alternative<Failed>(decode(range, 200, bad)));
  }
  for (const char* bad :
       {"[]", "{}", R"({"header":{"revision":"0"}})", R"({"header":{"revision":"7"},"succeeded":1})",
        R"({"header":{"revision":"7"},"succeeded":true,"responses":[]})"})
    CHECK(std::holds_alternative<OutcomeUnknown>(decode(txn, 200, bad)));
  CHECK(std::holds_alternative<OutcomeUnknown>(decode(txn, 503, R"({"code":14,"message":"leader lost"})")));
  CHECK(std::holds_alternative<OutcomeUnknown>(decode(txn, 500, "<html>")));
  CHECK(std::holds_alternative<Failed>(decode(txn, 404, R"({"code":5,"message":"lease not found"})")));
  CHECK(std::get<Failed>(decode(range, 400, R"({"code":11,"message":"compacted"})")).compacted);
  CHECK_FALSE(decode_watch_response("{}"));
  CHECK_FALSE(decode_watch_response(R"({"result":{"events":[{"kv":{}}]}})"));
}

TEST_CASE("300 clients that lost the store come back over a minute, none in a crowd") {
  std::map<std::int64_t, int> by_second;
  for (std::uint64_t seed = 0; seed < 300; ++seed) {
    EndpointRotation addresses(std::vector<config::Endpoint>(3), seed * 7919, 75s);
    Time time{1000s};
    for (; time < Time{1060s}; time = std::max(time + 1ms, addresses.next_attempt_at()))
      addresses.record_failure(time);
    ++by_second[time.time_since_epoch() / 1s];
    addresses.record_success(time);
    CHECK(addresses.next_attempt_at() <= time);
  }
  for (const auto& [second, count] : by_second) CHECK(count <= 15);
}

struct Away {
  StoreServer server;
  Link link{server.endpoint()};
  Client client{{link.endpoint()}, 7, 1s};
  Reply ask(const Request& request, Duration patience = kSoon) {
    return client.call(request, now() + patience);
  }
  template <class Kind>
  bool is(const Reply& reply) {
    return std::holds_alternative<Kind>(reply);
  }
  Txn put(const std::string& value) { return {{}, {Put{"a/k", value, LeaseId::none}}, {}}; }
  std::string value() {
    return server.with([](auto& model) {
      const auto found = model.range({"a/k", {}, 0});
      return found.empty() ? std::string() : found[0].value;
    });
  }
  void come_back() {
    while (now() < client.next_attempt_at()) std::this_thread::yield();
  }
};

TEST_CASE_FIXTURE(Away, "transactions, leases and reads as of a revision, over the wire as in the model") {
  const auto lease = std::get<Completed>(ask(GrantLease{5})).lease;
  const Txn enter{{{Compare::Target::create_revision, "a/k", 0, {}}},
                  {Put{"a/k", std::string("\0\xff", 2), lease}, Range{"a/", "a0", 0}},
                  {Range{"a/", "a0", 0}}};
  const auto first = std::get<Completed>(ask(enter)), second = std::get<Completed>(ask(enter));
  CHECK(first.succeeded);
  CHECK_FALSE(second.succeeded);
  CHECK(first.ranges == second.ranges);
  CHECK(second.ranges[0].key_values[0].value == std::string("\0\xff", 2));
  CHECK(second.ranges[0].key_values[0].lease == lease);
  CHECK(std::get<Completed>(ask(put("later"))).revision == first.revision + 1);
  CHECK(std::get<Completed>(ask(Range{"a/k", {}, first.revision})).ranges == first.ranges);
  CHECK(std::get<Completed>(ask(KeepLeaseAlive{lease})).ttl_s == 5);
  CHECK(is<Completed>(ask(RevokeLease{lease})));
  CHECK(std::get<Completed>(ask(KeepLeaseAlive{lease})).ttl_s == 0);
  CHECK(is<Failed>(ask(Txn{{}, {Put{"a/l", "", lease}}, {}})));
  server.with([](auto& model) { model.compact(); });
  CHECK(std::get<Failed>(ask(Range{"a/k", {}, 1})).compacted);
}

TEST_CASE_FIXTURE(Away, "a reply that is lost after the commit is unknown, not failed") {
  server.lose_reply([](const Txn&) { return true; });
  CHECK(is<OutcomeUnknown>(ask(put("1"))));
  CHECK(server.lost_reply());
  CHECK(value() == "1");
  come_back();
  CHECK(is<Completed>(ask(put("2"))));
}

TEST_CASE_FIXTURE(Away, "a call that never arrives is unknown to who asks, and one that comes late counts") {
  CHECK(is<Completed>(ask(put("0"))));
  link.there(Link::Way::hold);
  CHECK(is<OutcomeUnknown>(ask(put("1"), 100ms)));
  CHECK(value() == "0");
  link.there(Link::Way::pass);
  server.wait([&](auto& model) { return model.range({"a/k", {}, 0})[0].value == "1"; });
  link.back(Link::Way::lose);
  come_back();
  CHECK(is<OutcomeUnknown>(ask(put("2"), 100ms)));
  CHECK(value() == "2");
  come_back();
  CHECK(is<Failed>(ask(Range{"a/k", {}, 0}, 100ms)));  // a read changes nothing
}

TEST_CASE_FIXTURE(
    Away, "a store that refuses, errs or talks nonsense is away; a call before its time fails at once") {
  server.fail_writes(standin::StoreModel::kUnavailable);
  CHECK(is<OutcomeUnknown>(ask(put("1"))));
  server.fail_writes(0);
  CHECK(is<Completed>(ask(put("1"))));
  link.refuse(true), link.close_all();
  CHECK_FALSE(is<Completed>(ask(put("2"))));
  while (is<OutcomeUnknown>(ask(put("2")))) {
  }
  link.refuse(false);
  come_back();
  while (!is<Completed>(ask(put("3")))) come_back();
  CHECK(value() == "3");
}

TEST_CASE_FIXTURE(Away, "stop() ends a call that waits, and all that follow") {
  link.back(Link::Way::lose);
  net::Thread stopper("stopper", net::kLargeStack, [&] {
    server.wait([](auto& model) { return !model.range({"a/k", {}, 0}).empty(); });
    client.stop();
  });
  CHECK(is<OutcomeUnknown>(ask(put("1"), 60s)));
  CHECK(is<Failed>(ask(put("2"))));
}

struct Watching : Away {
  Watcher watcher;
  bool open(Revision from) {
    return watcher.open({"a/", prefix_range_end("a/"), from}, link.endpoint(), now() + kSoon);
  }
  std::vector<std::string> hear(std::size_t events) {  // values; "-": removed. Until so many, or its end
    std::vector<std::string> out;
    while (out.size() < events && watcher.is_open()) {
      for (const auto& message : watcher.read()) {
        if (message.canceled) out.push_back("compacted " + std::to_string(message.compact_revision > 0));
        for (const auto& e : message.events)
          out.push_back(e.kind == WatchEvent::Kind::removed ? "-" : e.key_value.value);
      }
      std::this_thread::yield();
    }
    return out;
  }
};

TEST_CASE_FIXTURE(Watching,
                  "a watch tells all from its revision on, in order, and of its end when it is cut") {
  const auto first = std::get<Completed>(ask(put("1"))).revision;
  CHECK(is<Completed>(ask(put("2"))));
  REQUIRE(open(first + 1));
  CHECK(is<Completed>(ask(put("3"))));
  CHECK(is<Completed>(ask(Txn{{}, {Delete{"a/k", {}}}, {}})));
  CHECK(hear(3) == std::vector<std::string>{"2", "3", "-"});
  link.close_all();
  CHECK(hear(1).empty());
  CHECK_FALSE(watcher.is_open());
  CHECK(watcher.descriptor() == -1);
}

TEST_CASE_FIXTURE(Watching, "a watch of what is compacted says so") {
  CHECK(is<Completed>(ask(put("1"))));
  server.with([](auto& model) { model.compact(); });
  REQUIRE(open(1));
  CHECK(hear(1) == std::vector<std::string>{"compacted 1"});
}

}  // namespace
}  // namespace yokestream::test
