// Shared by the tests of the workload manager: a seeded random source, input split at random positions, a
// configuration, and a dispatcher with fake ports and a fake clock.
#pragma once

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "config/config.h"
#include "dispatch/dispatcher.h"
#include "protocol/error.h"

namespace yokestream::test {

using namespace std::chrono_literals;
using policy::Duration;
using policy::Time;

// The same seed gives the same numbers on every machine.
class SeededRandom {
 public:
  explicit SeededRandom(std::uint32_t seed) : engine_(seed) {}
  std::size_t below(std::size_t n) { return engine_() % n; }

 private:
  std::mt19937 engine_;
};

// Feeds `bytes` to the reader in pieces of random size and returns all messages that it yields.
template <class Reader>
auto read_split(Reader& reader, std::string_view bytes, SeededRandom& random) {
  std::vector<typename decltype(reader.next())::value_type> out;
  while (!bytes.empty()) {
    const std::size_t size = 1 + random.below(std::min<std::size_t>(bytes.size(), 1 + random.below(40)));
    reader.feed(bytes.substr(0, size));
    bytes.remove_prefix(size);
    while (auto message = reader.next()) out.push_back(std::move(*message));
  }
  return out;
}

// A configuration with an idempotent class `look`, a non-idempotent class `load` and one engine `e1`, which
// listens at `engine`.
inline std::string config_text(const std::string& listen = "127.0.0.1:0",
                               const std::string& engine = "127.0.0.1:7001") {
  return R"({"name":"t","listen":")" + listen + R"(","seed":"2a","limits":{"memory_mb":64,"sockets":256},
    "known":{"n":1,"events":[{"n":1,"members":{"rev":1,"all":true,"targets":[
      {"uid":"e1","endpoint":")" +
         engine + R"(","az":"z","model":"m","pod_group":0,"state":"up","capacity_hint":1,"boot_ms":0}]}}]},
    "settings":{"Classes":[
       {"Name":"look","Deadline":4000000000,"Promise":800000000,"Idempotency":"idempotent","Worth":1},
       {"Name":"load","Deadline":4000000000,"Promise":800000000,"Idempotency":"at_most_once","Worth":1}],
     "Orgs":[{"Name":"acme","Share":1.0,"QuotaPerS":1000.0}],"Zones":["z"],"HostTypes":["m"],
     "FamilyInfo":{"CpuOfKind":[8],"MemoryByKindMb":[16384.0],"Dop":[1,1],"LanesCount":true,
       "NotePeriod":2000000000},
     "Allowed":{"Cancel":true,"DialTimeout":250000000,"IdleClose":30000000000,"SendCap":4,
       "StreamsPerConn":3,"RetryAfter":true,"MaxRetryAfter":2000000000},
     "Report":{"How":"piggyback","Fields":["queue","inflight"]},
     "Safety":{"AnswerSlack":20000000,"DrainGrace":250000000,"MinExtra":5.0,"ExtraRatio":0.2,
       "RatioSpan":5000000000}}})";
}

// A dispatcher with a fake clock and fake ports that record its calls.
struct DispatcherHarness : dispatch::ClientPort, dispatch::EnginePort, dispatch::Log {
  enum class AttemptState { queued, written, stopped };
  struct Attempt {
    dispatch::EngineConnectionId connection{};
    std::string id;
    AttemptState state = AttemptState::queued;
    Time write_deadline{};
  };
  struct Reply {
    std::string kind, rows;
    Time at{};
  };

  explicit DispatcherHarness(const config::Config& c)
      : config(c),
        dispatcher(
            config, now, [](std::int64_t ms) { return Time(Duration(ms * 1000000)); }, budget, *this, *this,
            *this) {
    handle(dispatch::SessionOpened{dispatch::SessionId{1}});
  }

  config::Config config;
  Time now{Duration(1000s)};
  dispatch::Budget budget{1 << 20};
  std::map<std::pair<dispatch::SessionId, dispatch::CallId>, std::vector<Reply>> replies;
  std::set<dispatch::SessionId> disconnected_sessions;  // closed by the client; SessionClosed still to come
  std::set<dispatch::SessionId> sessions_with_unread_data;  // received data whose event is still to come
  std::set<dispatch::EngineConnectionId> connections;
  std::map<dispatch::EngineConnectionId, std::string> engine_addresses;
  std::map<dispatch::AttemptTag, Attempt> attempts;  // in flight
  std::vector<std::string> port_calls;               // to both ports, in order
  std::vector<std::string> log_lines;
  dispatch::Dispatcher dispatcher;  // last, because its constructor uses the members above

  void handle(dispatch::Event event) { dispatcher.handle(now, std::move(event)); }
  // Advances the clock by `time` and fires every timer at its due time.
  void advance(Duration time) {
    const Time until = now + time;
    while (dispatcher.next_due() <= until) {
      now = std::max(now, dispatcher.next_due());
      dispatcher.tick(now);
    }
    now = until;
  }
  void send_request(dispatch::CallId call, std::uint32_t query_class = 0, Duration time_left = 4s,
                    int session = 1, std::uint64_t table_group = 0) {
    char id[17];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(call));
    dispatch::RequestReceived request;
    request.session = dispatch::SessionId(session), request.call = call, request.request_id = id;
    request.query_class = policy::ClassId{query_class};
    request.work = Duration(10ms), request.deadline = now + time_left, request.statement = "select 1";
    request.table_group = policy::TableGroupId{table_group};
    handle(std::move(request));
  }
  void respond(const Attempt& attempt, ResponseType type, std::uint32_t page_count = 1,
               std::uint32_t page_index = 0, std::string body = "") {
    EngineResponse response;
    response.id = attempt.id, response.type = type, response.page_count = page_count;
    response.page_index = page_index, response.body = std::move(body);
    handle(dispatch::ResponseReceived{attempt.connection, std::move(response)});
  }
  void send_pong(dispatch::EngineConnectionId connection, const std::string& tag) {
    EngineResponse response;
    response.id = tag, response.type = ResponseType::pong;
    handle(dispatch::ResponseReceived{connection, response});
  }
  void update_engine_list(const std::string& members) {
    handle(dispatch::EngineListChanged{
        config::decode_members(R"({"n":2,"members":{"all":false,"targets":[)" + members + "]}}")});
  }
  const std::vector<Reply>& replies_to(dispatch::CallId call, int session = 1) {
    return replies[{dispatch::SessionId(session), call}];
  }
  Attempt& last_attempt() { return attempts.rbegin()->second; }
  // Opens the connection of the last attempt and marks the attempt as written.
  Attempt write_last_attempt() {
    handle(dispatch::EngineConnected{last_attempt().connection});
    last_attempt().state = AttemptState::written;
    return last_attempt();
  }

  void send_result(dispatch::SessionId s, dispatch::CallId c, dispatch::Result result) override {
    replies[{s, c}].push_back({"served", result.rows, now});
  }
  void send_rejection(dispatch::SessionId s, dispatch::CallId c, Duration) override {
    replies[{s, c}].push_back({"refused", "", now});
  }
  void send_failure(dispatch::SessionId s, dispatch::CallId c, std::string_view) override {
    replies[{s, c}].push_back({"failed", "", now});
  }
  void send_readiness(dispatch::SessionId s, dispatch::CallId c, bool ready) override {
    replies[{s, c}].push_back({ready ? "ready" : "not ready", "", now});
  }
  void close(dispatch::SessionId s) override {
    port_calls.push_back("close " + std::to_string(static_cast<int>(s)));
  }
  bool close_if_idle(dispatch::SessionId s) override {
    if (sessions_with_unread_data.count(s)) return false;
    close(s);
    return true;
  }
  bool close_after_responses(dispatch::SessionId s) override {
    if (sessions_with_unread_data.count(s)) return false;
    port_calls.push_back("close after responses " + std::to_string(static_cast<int>(s)));
    return true;
  }
  bool has_disconnected(dispatch::SessionId s) override { return disconnected_sessions.count(s) > 0; }
  void connect(dispatch::EngineConnectionId connection, const config::Endpoint& endpoint, Time) override {
    connections.insert(connection);
    engine_addresses[connection] = to_string(endpoint);
    port_calls.push_back("connect " + to_string(endpoint));
  }
  void send(dispatch::EngineConnectionId connection, dispatch::AttemptTag tag,
            EngineRequest request) override {
    attempts[tag] = {connection, request.id, AttemptState::queued, request.write_deadline};
    port_calls.push_back("send " + request.id);
  }
  bool withdraw(dispatch::EngineConnectionId, dispatch::AttemptTag tag) override {
    const auto it = attempts.find(tag);
    return it != attempts.end() && it->second.state == AttemptState::queued && attempts.erase(tag) > 0;
  }
  void cancel(dispatch::EngineConnectionId, std::string_view id) override {
    port_calls.push_back("cancel " + std::string(id));
  }
  void ping(dispatch::EngineConnectionId, std::string_view tag) override {
    port_calls.push_back("ping " + std::string(tag));
  }
  void set_priority(dispatch::EngineConnectionId, std::string_view, std::uint32_t) override {}
  void fetch_page(dispatch::EngineConnectionId, std::string_view, std::uint32_t page) override {
    port_calls.push_back("fetch " + std::to_string(page));
  }
  void release_result(dispatch::EngineConnectionId, std::string_view id) override {
    port_calls.push_back("release " + std::string(id));
  }
  // Drops all attempts on the connection.
  void close(dispatch::EngineConnectionId connection) override {
    connections.erase(connection);
    for (const auto& [tag, attempt] : attempts) {
      if (attempt.connection == connection) port_calls.push_back("dropped " + attempt.id);
    }
    std::erase_if(attempts, [&](const auto& entry) { return entry.second.connection == connection; });
  }
  void write(std::string_view line) override { log_lines.emplace_back(line); }
};

}  // namespace yokestream::test
