// One manager of a played fleet, and what the parts of the rig have in common. Only for fleet*.cpp.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "base/seconds.h"
#include "dispatch/dispatcher.h"
#include "standin/fleet.h"
#include "standin/pool.h"

namespace yokestream::standin {

inline constexpr Duration kWire = std::chrono::microseconds(300);  // one way
inline constexpr Duration kAnswerBy = std::chrono::milliseconds(70);
inline constexpr Duration kRestart = std::chrono::seconds(1);
inline constexpr Duration kDrain = std::chrono::seconds(4);  // from the word that an engine drains to its end
inline constexpr std::uint16_t kFirstPort = 10000;
inline constexpr std::uint64_t kSessions = 8;  // of each manager
inline constexpr double kCores = 8;
inline constexpr double kToldPart = 0.5;  // told estimates are this part of the work, and scatter
inline constexpr double kToldScatter = 0.4;

struct Kind {
  double part, work, memory, patience, worth;
};
inline constexpr Kind kKinds[] = {{0.82, 0.13, 64, 4, 1}, {0.14, 2.0, 512, 25, 8}, {0.04, 1.5, 256, 25, 8}};

inline double mean_work() {
  double sum = 0;
  for (const Kind& kind : kKinds) sum += kind.part * kind.work;
  return sum;
}

// One manager: its core, and what stands for its sockets.
struct Fleet::Seat : dispatch::ClientPort, dispatch::EnginePort, dispatch::Log {
  struct Link {
    std::size_t engine = 0;
    bool up = false;
  };
  double part = 0;  // of the fleet's load that it is told to count on; 0: it is not told
  Seat(Fleet& f, std::size_t i, const config::Config& c) : fleet(f), index(i), config(c) {}

  void begin() {
    links.clear();
    calls.clear();
    config.known.resize(1);
    config.known.insert(config.known.end(), fleet.history_.begin(), fleet.history_.end());
    config.seed = fleet.random_ ^ (index + 1) ^ ++life;
    gone = fleet.gone_engines();
    const auto from_unix = [](std::int64_t ms) { return Time(std::chrono::milliseconds(ms)); };
    budget = std::make_unique<dispatch::Budget>(64 << 20);
    core =
        std::make_unique<dispatch::Dispatcher>(config, fleet.now_, from_unix, *budget, *this, *this, *this);
    if (part > 0) core->set_manager_count(1 / part);
    for (std::uint64_t id = 1; id <= kSessions; ++id)
      hear(dispatch::SessionOpened{dispatch::SessionId{id}, id});
  }
  void trace(std::string_view what) const {
    if (!fleet.settings_.trace) return;
    std::string line = exact(fleet.now_);
    line += ' ' + std::to_string(index) + ' ';
    line += what;
    fleet.settings_.trace(line);
  }
  void trace(const char* what, dispatch::EngineConnectionId link, std::string_view id) const {
    if (!fleet.settings_.trace) return;
    std::string line = std::string(what) + ' ' + std::to_string(static_cast<std::uint64_t>(link)) + ' ';
    line += id;
    trace(line);
  }
  void hear(dispatch::Event event) {
    if (!core) return;
    if (fleet.settings_.trace) trace(describe(event));
    core->handle(fleet.now_, std::move(event));
    look_later();
  }
  void look_later() {
    const Time due = core->next_due();
    if (due == ticks_at) return;
    fleet.ticks_.erase({ticks_at, index});
    ticks_at = due;
    fleet.ticks_.emplace(due, index);
  }
  void tick() {
    fleet.ticks_.erase({ticks_at, index});
    ticks_at = Time::max();
    if (!core) return;
    core->tick(fleet.now_);
    look_later();
  }
  void end() {
    for (const auto& [id, link] : links) fleet.engines_[link.engine].connections -= link.up;
    fleet.ticks_.erase({ticks_at, index});
    ticks_at = Time::max();
    core.reset();
    ++life;
  }
  // What comes over a link, if both still are.
  void over(std::uint64_t link, std::uint64_t in_life, dispatch::Event event) {
    if (life == in_life && core && links.count(link)) hear(std::move(event));
  }

  void send_result(dispatch::SessionId, dispatch::CallId c, dispatch::Result) override { say(c, "served"); }
  void send_rejection(dispatch::SessionId, dispatch::CallId c, Duration) override { say(c, "refused"); }
  void send_failure(dispatch::SessionId, dispatch::CallId c, std::string_view) override { say(c, "failed"); }
  void say(dispatch::CallId call, const char* how) {
    if (fleet.settings_.trace) trace(how + std::string(" ") + std::to_string(call));
    fleet.answered(index, call, how);
  }
  void send_readiness(dispatch::SessionId, dispatch::CallId, bool) override {}
  void close(dispatch::SessionId) override {}
  bool close_if_idle(dispatch::SessionId) override { return false; }  // these clients are never idle for long

  void connect(dispatch::EngineConnectionId link, const config::Endpoint& endpoint, Time deadline) override {
    const auto id = static_cast<std::uint64_t>(link);
    const auto engine = static_cast<std::size_t>(endpoint.port - kFirstPort);
    trace("open", link, exact(deadline));
    links[id] = {engine, false};
    ++fleet.figures_.handshakes;
    const bool silent = fleet.engines_[engine].silent;
    fleet.later(silent ? deadline : fleet.now_ + kWire + kWire, [this, id, engine, silent, in_life = life] {
      if (life != in_life || !links.count(id)) return;
      Engine& e = fleet.engines_[engine];
      if (!e.up || silent) {
        links.erase(id);
        return hear(dispatch::EngineDisconnected{dispatch::EngineConnectionId{id}, "not up"});
      }
      links[id].up = true;
      fleet.figures_.most_connections = std::max(fleet.figures_.most_connections, ++e.connections);
      hear(dispatch::EngineConnected{dispatch::EngineConnectionId{id}});
    });
  }
  void send(dispatch::EngineConnectionId link, dispatch::AttemptTag, EngineRequest request) override {
    const auto id = static_cast<std::uint64_t>(link);
    const std::size_t engine = links.at(id).engine;
    trace("send", link, request.id + ' ' + std::to_string(request.priority) + ' ' + exact(request.deadline));
    ++fleet.figures_.sends;
    fleet.figures_.sends_to_gone += gone.count(engine);
    fleet.later(fleet.now_ + kWire + kWire + kWire, [this, id, engine, request, in_life = life] {
      if (life == in_life && links.count(id)) fleet.start(engine, index, id, request.id, request.priority);
    });
  }
  bool withdraw(dispatch::EngineConnectionId, dispatch::AttemptTag) override { return false; }
  void cancel(dispatch::EngineConnectionId link, std::string_view id) override {
    trace("stop", link, id);
    const std::size_t engine = links.at(static_cast<std::uint64_t>(link)).engine;
    fleet.later(fleet.now_ + kWire, [this, engine, id = std::string(id)] { fleet.stopped(engine, id); });
  }
  void ping(dispatch::EngineConnectionId link, std::string_view tag) override {
    trace("hello", link, tag);
    const auto id = static_cast<std::uint64_t>(link);
    EngineResponse green;
    green.id = std::string(tag);
    green.type = ResponseType::pong;
    fleet.later(fleet.now_ + kWire + kWire, [this, id, green, in_life = life] {
      if (life != in_life || !links.count(id)) return;
      const Engine& e = fleet.engines_[links[id].engine];
      if (e.up && !e.silent) hear(dispatch::ResponseReceived{dispatch::EngineConnectionId{id}, green});
    });
  }
  void set_priority(dispatch::EngineConnectionId link, std::string_view id, std::uint32_t band) override {
    trace("nice", link, std::string(id) + ' ' + std::to_string(band));
    const std::size_t engine = links.at(static_cast<std::uint64_t>(link)).engine;
    fleet.engines_[engine].model->nice(fleet.now_, std::string(id), band);
    fleet.reschedule(engine);
  }
  void fetch_page(dispatch::EngineConnectionId, std::string_view, std::uint32_t) override {}
  void release_result(dispatch::EngineConnectionId, std::string_view) override {}
  void close(dispatch::EngineConnectionId link) override {
    trace("close", link, "");
    const auto it = links.find(static_cast<std::uint64_t>(link));
    if (it == links.end()) return;
    Engine& e = fleet.engines_[it->second.engine];
    e.connections -= it->second.up;
    std::vector<std::string> open;
    for (const auto& [id, at] : e.runs) {
      if (at == std::pair(index, it->first)) open.push_back(id);
    }
    const std::size_t engine = it->second.engine;
    links.erase(it);
    for (const auto& id : open) fleet.stopped(engine, id);
  }
  void write(std::string_view) override {}

  Fleet& fleet;
  const std::size_t index;
  config::Config config;
  std::uint64_t life = 0, last_call = 0;
  double per_s = 0;
  bool deaf = false;
  std::map<std::uint64_t, Link> links;
  std::map<std::uint64_t, std::string> calls;  // open requests, by call
  std::set<std::size_t> gone;                  // engines that it heard to drain or be gone
  Time ticks_at = Time::max();
  std::unique_ptr<dispatch::Budget> budget;
  std::unique_ptr<dispatch::Dispatcher> core;  // last: it uses the rest
};

}  // namespace yokestream::standin
