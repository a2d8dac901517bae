// The store's client: the gateway codec, the endpoint rotation, and calls to the fake store over a link on
// which each step can fail.
#include <doctest/doctest.h>

#include <set>
#include <thread>

#include "helper.h"
#include "standin/link.h"
#include "standin/store_server.h"
#include "store/client.h"
#include "store/gateway_codec.h"
#include "store/watcher.h"

namespace yokestream::test {
namespace {

using namespace store;
using net::now;
using standin::Link;
using standin::StoreServer;

constexpr auto kCallTimeout = 2s;

TEST_CASE("base64 decoding restores encoded bytes and rejects malformed text") {
  SeededRandom steps(1);
  for (int i = 0; i < 300; ++i) {
    std::string bytes(steps.below(70), '\0');
    for (char& c : bytes) c = static_cast<char>(steps.below(256));
    REQUIRE(from_base64(to_base64(bytes)) == bytes);
  }
  for (const char* bad : {"a", "ab", "abc", "a===", "ab!=", "YQ", "YQ==x", "YR=="})
    CHECK_FALSE(from_base64(bad));
}

TEST_CASE("a malformed reply is an unknown outcome if the call writes and a failure if it only reads") {
  const Request txn = Txn{{}, {Put{"k", "v", {}}}, {}}, range = Range{"k", {}, 0};
  SeededRandom steps(2);
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

// Failure: the store is unavailable for a minute, then all managers reconnect in the same second.
// Expected: random backoff spreads the attempts, so that they do not overload the recovering store.
TEST_CASE("300 clients reconnect after a one-minute outage at no more than 15 per second") {
  std::map<std::int64_t, int> by_second;
  for (std::uint64_t seed = 0; seed < 300; ++seed) {
    EndpointRotation rotation(std::vector<config::Endpoint>(3), seed * 7919, 75s);
    Time time{1000s};
    for (; time < Time{1060s}; time = std::max(time + 1ms, rotation.next_attempt_at()))
      rotation.record_failure(time);
    ++by_second[time.time_since_epoch() / 1s];
    rotation.record_success(time);
    CHECK(rotation.next_attempt_at() <= time);
  }
  for (const auto& [second, count] : by_second) CHECK(count <= 15);
}

struct StoreOverLink {
  StoreServer server;
  Link link{server.endpoint()};
  Client client{{link.endpoint()}, 7, 1s};
  Reply call(const Request& request, Duration timeout = kCallTimeout) {
    return client.call(request, now() + timeout);
  }
  template <class Kind>
  bool holds(const Reply& reply) {
    return std::holds_alternative<Kind>(reply);
  }
  Txn put(const std::string& value) { return {{}, {Put{"a/k", value, LeaseId::none}}, {}}; }
  std::string value() {
    return server.with([](auto& model) {
      const auto found = model.range({"a/k", {}, 0});
      return found.empty() ? std::string() : found[0].value;
    });
  }
  void wait_for_backoff() {
    while (now() < client.next_attempt_at()) std::this_thread::yield();
  }
};

TEST_CASE_FIXTURE(StoreOverLink,
                  "transactions, leases and reads at a revision return the model's results over the wire") {
  const auto lease = std::get<Completed>(call(GrantLease{5})).lease;
  const Txn campaign{{{Compare::Target::create_revision, "a/k", 0, {}}},
                     {Put{"a/k", std::string("\0\xff", 2), lease}, Range{"a/", "a0", 0}},
                     {Range{"a/", "a0", 0}}};
  const auto first = std::get<Completed>(call(campaign)), second = std::get<Completed>(call(campaign));
  CHECK(first.succeeded);
  CHECK_FALSE(second.succeeded);
  CHECK(first.ranges == second.ranges);
  CHECK(second.ranges[0].key_values[0].value == std::string("\0\xff", 2));
  CHECK(second.ranges[0].key_values[0].lease == lease);
  CHECK(std::get<Completed>(call(put("later"))).revision == first.revision + 1);
  CHECK(std::get<Completed>(call(Range{"a/k", {}, first.revision})).ranges == first.ranges);
  CHECK(std::get<Completed>(call(KeepLeaseAlive{lease})).ttl_s == 5);
  CHECK(holds<Completed>(call(RevokeLease{lease})));
  CHECK(std::get<Completed>(call(KeepLeaseAlive{lease})).ttl_s == 0);
  CHECK(holds<Failed>(call(Txn{{}, {Put{"a/l", "", lease}}, {}})));
  server.with([](auto& model) { model.compact(); });
  CHECK(std::get<Failed>(call(Range{"a/k", {}, 1})).compacted);
}

// Failure: the store commits a transaction and its reply is lost.
// Expected: the client does not report a failure, as its caller would then repeat a write that was applied.
TEST_CASE_FIXTURE(StoreOverLink, "a reply lost after the commit is an unknown outcome, not a failure") {
  server.lose_reply([](const Txn&) { return true; });
  CHECK(holds<OutcomeUnknown>(call(put("1"))));
  CHECK(server.lost_reply());
  CHECK(value() == "1");
  wait_for_backoff();
  CHECK(holds<Completed>(call(put("2"))));
}

// Failure: the network delays a request beyond its deadline and delivers it later, or loses the reply.
// Expected: a write has an unknown outcome; a read has failed.
TEST_CASE_FIXTURE(
    StoreOverLink,
    "a write that is not delivered in time has an unknown outcome and is applied when it arrives late") {
  CHECK(holds<Completed>(call(put("0"))));
  link.there(Link::Way::hold);
  CHECK(holds<OutcomeUnknown>(call(put("1"), 100ms)));
  CHECK(value() == "0");
  link.there(Link::Way::pass);
  server.wait([&](auto& model) { return model.range({"a/k", {}, 0})[0].value == "1"; });
  link.back(Link::Way::lose);
  wait_for_backoff();
  CHECK(holds<OutcomeUnknown>(call(put("2"), 100ms)));
  CHECK(value() == "2");
  wait_for_backoff();
  CHECK(holds<Failed>(call(Range{"a/k", {}, 0}, 100ms)));  // a read changes nothing
}

// Failure: the store first answers with errors, then refuses connections, then recovers.
// Expected: no call is reported as completed meanwhile, and calls succeed again after the backoff.
TEST_CASE_FIXTURE(StoreOverLink,
                  "a store that refuses connections or reports errors is retried after its backoff") {
  server.fail_writes(standin::StoreModel::kUnavailable);
  CHECK(holds<OutcomeUnknown>(call(put("1"))));
  server.fail_writes(0);
  CHECK(holds<Completed>(call(put("1"))));
  link.refuse(true);
  link.close_all();
  CHECK_FALSE(holds<Completed>(call(put("2"))));
  while (holds<OutcomeUnknown>(call(put("2")))) {
  }
  link.refuse(false);
  wait_for_backoff();
  while (!holds<Completed>(call(put("3")))) wait_for_backoff();
  CHECK(value() == "3");
}

// Failure: the process shuts down while a call waits for a reply that never arrives.
// Expected: the call returns immediately instead of at its deadline after a minute.
TEST_CASE_FIXTURE(StoreOverLink, "stop() ends the call in progress and fails all later ones") {
  link.back(Link::Way::lose);
  net::Thread stopper("stopper", net::kLargeStackBytes, [&] {
    server.wait([](auto& model) { return !model.range({"a/k", {}, 0}).empty(); });
    client.stop();
  });
  CHECK(holds<OutcomeUnknown>(call(put("1"), 60s)));
  CHECK(holds<Failed>(call(put("2"))));
}

struct WatchOverLink : StoreOverLink {
  Watcher watcher;
  bool open(Revision from) {
    return watcher.open({"a/", prefix_range_end("a/"), from}, link.endpoint(), now() + kCallTimeout);
  }
  // Reads until `events` events have arrived or the watch has ended. Returns their values; "-" for a removal.
  std::vector<std::string> read_values(std::size_t events) {
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

// Failure: the connection of an open watch is closed.
// Expected: the watch reports its end, so that its user reads all keys again.
TEST_CASE_FIXTURE(
    WatchOverLink,
    "a watch reports all changes from its revision on, in order, and its end when it is disconnected") {
  const auto first = std::get<Completed>(call(put("1"))).revision;
  CHECK(holds<Completed>(call(put("2"))));
  REQUIRE(open(first + 1));
  CHECK(holds<Completed>(call(put("3"))));
  CHECK(holds<Completed>(call(Txn{{}, {Delete{"a/k", {}}}, {}})));
  CHECK(read_values(3) == std::vector<std::string>{"2", "3", "-"});
  link.close_all();
  CHECK(read_values(1).empty());
  CHECK_FALSE(watcher.is_open());
  CHECK(watcher.descriptor() == -1);
}

// Failure: a watch starts at a revision that the store has compacted.
// Expected: the watch is canceled with the compact revision instead of silently missing changes.
TEST_CASE_FIXTURE(WatchOverLink, "a watch of a compacted revision is canceled with the compact revision") {
  CHECK(holds<Completed>(call(put("1"))));
  server.with([](auto& model) { model.compact(); });
  REQUIRE(open(1));
  CHECK(read_values(1) == std::vector<std::string>{"compacted 1"});
}

}  // namespace
}  // namespace yokestream::test
