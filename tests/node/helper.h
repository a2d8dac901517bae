// What the tests of the real workload manager share: a seeded source of steps, bytes split anywhere, a
// configuration, and the core on fake ports and a fake clock.
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

class Steps {  // the same seed gives the same steps on every machine
 public:
  explicit Steps(std::uint32_t seed) : engine_(seed) {}
  std::size_t below(std::size_t n) { return engine_() % n; }

 private:
  std::mt19937 engine_;
};

// Feeds `bytes` in random pieces and returns all that the reader yields.
template <class Reader>
auto read_split(Reader& reader, std::string_view bytes, Steps& steps) {
  std::vector<typename decltype(reader.next())::value_type> out;
  while (!bytes.empty()) {
    const std::size_t size = 1 + steps.below(std::min<std::size_t>(bytes.size(), 1 + steps.below(40)));
    reader.feed(bytes.substr(0, size));
    bytes.remove_prefix(size);
    while (auto message = reader.next()) out.push_back(std::move(*message));
  }
  return out;
}

// Two classes (one that may be repeated, one that may not), one engine `e1` at `engine`, another one `e2`.
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

// The core with everything round it recorded. The model beside it knows what is owed and what is out.
struct Core : dispatch::ClientPort, dispatch::EnginePort, dispatch::Log {
  enum class Sent { queued, written, stopped };
  struct Out {
    dispatch::EngineConnectionId link{};
    std::string id;
    Sent state = Sent::queued;
  };
  struct Reply {
    std::string kind, rows;
    Time at{};
  };

  explicit Core(const config::Config& c)
      : config(c),
        core(
            config, now, [](std::int64_t ms) { return Time(Duration(ms * 1000000)); }, budget, *this, *this,
            *this) {
    hear(dispatch::SessionOpened{dispatch::SessionId{1}});
  }

  config::Config config;
  Time now{Duration(1000s)};
  dispatch::Budget budget{1 << 20};
  std::map<std::pair<dispatch::SessionId, dispatch::CallId>, std::vector<Reply>> replies;
  std::set<dispatch::SessionId> gone;  // have closed, and the core has not heard of it yet
  std::set<dispatch::SessionId> busy;  // something has come from them that the core has not heard yet
  std::set<dispatch::EngineConnectionId> links;
  std::map<dispatch::EngineConnectionId, std::string> where;
  std::map<dispatch::AttemptTag, Out> out;
  std::vector<std::string> said;  // in order: what went to engines
  std::vector<std::string> notes;
  dispatch::Dispatcher core;  // last: it uses the rest

  void hear(dispatch::Event event) { core.handle(now, std::move(event)); }
  void pass(Duration time) {  // lets time pass, with every timer at its moment
    const Time until = now + time;
    while (core.next_due() <= until) now = std::max(now, core.next_due()), core.tick(now);
    now = until;
  }
  void arrive(dispatch::CallId call, std::uint32_t cls = 0, Duration left = 4s, int session = 1,
              std::uint64_t area = 0) {
    char id[17];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(call));
    dispatch::RequestReceived a;
    a.session = dispatch::SessionId(session), a.call = call, a.request_id = id,
    a.query_class = policy::ClassId{cls};
    a.work = Duration(10ms), a.deadline = now + left, a.statement = "select 1";
    a.table_group = policy::TableGroupId{area};
    hear(std::move(a));
  }
  void answer(const Out& o, ResponseType word, std::uint32_t pages = 1, std::uint32_t page = 0,
              std::string body = "") {
    EngineResponse a;
    a.id = o.id, a.type = word, a.page_count = pages, a.page_index = page, a.body = std::move(body);
    hear(dispatch::ResponseReceived{o.link, std::move(a)});
  }
  void confirm(dispatch::EngineConnectionId link, const std::string& tag) {
    EngineResponse a;
    a.id = tag, a.type = ResponseType::pong;
    hear(dispatch::ResponseReceived{link, a});
  }
  void list(const std::string& members) {
    hear(dispatch::EngineListChanged{
        config::decode_members(R"({"n":2,"members":{"all":false,"targets":[)" + members + "]}}")});
  }
  const std::vector<Reply>& to(dispatch::CallId call, int session = 1) {
    return replies[{dispatch::SessionId(session), call}];
  }
  Out& only() { return out.rbegin()->second; }  // the attempt sent last
  Out written() {                               // the same, once its link is up and it has left
    hear(dispatch::EngineConnected{only().link});
    only().state = Sent::written;
    return only();
  }

  void send_result(dispatch::SessionId s, dispatch::CallId c, dispatch::Result r) override {
    replies[{s, c}].push_back({"served", r.rows, now});
  }
  void send_rejection(dispatch::SessionId s, dispatch::CallId c, Duration) override {
    replies[{s, c}].push_back({"refused", "", now});
  }
  void send_failure(dispatch::SessionId s, dispatch::CallId c, std::string_view) override {
    replies[{s, c}].push_back({"failed", "", now});
  }
  void send_readiness(dispatch::SessionId s, dispatch::CallId c, bool able) override {
    replies[{s, c}].push_back({able ? "able" : "leaving", "", now});
  }
  void close(dispatch::SessionId s) override {
    said.push_back("close " + std::to_string(static_cast<int>(s)));
  }
  bool close_if_idle(dispatch::SessionId s) override {
    if (busy.count(s)) return false;
    close(s);
    return true;
  }
  void close_after_responses(dispatch::SessionId s) override {
    said.push_back("finish " + std::to_string(static_cast<int>(s)));
  }
  bool has_disconnected(dispatch::SessionId s) override { return gone.count(s) > 0; }
  void connect(dispatch::EngineConnectionId link, const config::Endpoint& at, Time) override {
    links.insert(link), where[link] = to_string(at), said.push_back("open " + to_string(at));
  }
  void send(dispatch::EngineConnectionId link, dispatch::AttemptTag tag, EngineRequest r) override {
    out[tag] = {link, r.id, Sent::queued}, said.push_back("req " + r.id);
  }
  bool withdraw(dispatch::EngineConnectionId, dispatch::AttemptTag tag) override {
    const auto it = out.find(tag);
    return it != out.end() && it->second.state == Sent::queued && out.erase(tag) > 0;
  }
  void cancel(dispatch::EngineConnectionId, std::string_view id) override {
    said.push_back("stop " + std::string(id));
  }
  void ping(dispatch::EngineConnectionId, std::string_view tag) override {
    said.push_back("hello " + std::string(tag));
  }
  void set_priority(dispatch::EngineConnectionId, std::string_view, std::uint32_t) override {}
  void fetch_page(dispatch::EngineConnectionId, std::string_view, std::uint32_t page) override {
    said.push_back("fetch " + std::to_string(page));
  }
  void release_result(dispatch::EngineConnectionId, std::string_view id) override {
    said.push_back("end " + std::string(id));
  }
  void close(dispatch::EngineConnectionId link) override {  // gives up all that is open on it
    links.erase(link);
    for (const auto& [tag, o] : out) {
      if (o.link == link) said.push_back("given up " + o.id);
    }
    std::erase_if(out, [&](const auto& o) { return o.second.link == link; });
  }
  void write(std::string_view line) override { notes.emplace_back(line); }
};

}  // namespace yokestream::test
