// A whole pool on a virtual clock: the core with its door and its module, engine models behind the engine
// port, and clients that behave as told. No socket, no thread, no wall clock: one seeded scheduler, so that a
// run replays from its seed. Used by tests and by `yokestream-standin sim`.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "config/config.h"
#include "dispatch/dispatcher.h"
#include "standin/draw.h"
#include "standin/engine_model.h"
#include "standin/schedule.h"
#include "standin/trace.h"

namespace yokestream::standin {

enum class Retry { never, at_once, own_wait, at_hint };

struct Load {  // one stream of first tries, open loop
  std::size_t member = 0, cls = 0;
  double per_s = 1;              // first tries a second
  double work = 0.1;             // mean, seconds of one core
  double told_times = 1;         // told estimate over true work
  double memory = 64;            // MB
  std::uint64_t clients = 8;     // each first try is of one of these connections, and of that address
  bool one_greedy = false;       // half of all comes from client 0
  bool new_connections = false;  // each try comes over a connection of its own
  Retry retry = Retry::never;
  int most_tries = 3;
  Duration patience = std::chrono::seconds(4);               // of one try
  Duration give_up{};                                        // a client that leaves after this; zero: never
  Duration from{}, until = std::chrono::seconds(1'000'000);  // since the start
  bool ramp = false;                                         // from nothing to per_s over [from, until)
  Duration doubles{};    // doubles as often, up to per_s at `until`; zero: no
  double scatter = 0;    // of the told estimates: standard deviation of their logarithm
  double bad_plans = 0;  // part of the attempts that take bad_plan_times as much work
  double bad_plan_times = 15;
};

struct Service {  // by load
  std::uint64_t first = 0, served = 0, in_time = 0, refused = 0, failed = 0, unanswered = 0, left = 0;
  std::uint64_t tries = 0, hinted_back = 0, hinted_in = 0;
  std::uint64_t answers_twice = 0, ran_twice = 0;
  double worst_seconds = 0;
  struct Wait {  // seconds: quoted, real, and when it was asked
    double quoted = 0, came = 0, at = 0;
  };
  std::vector<Wait> waits;
  std::uint64_t unquoted_end = 0;  // quoted, and never went to an engine
};

// Worth served in time over worth asked for, of a member's lookups and reports.
inline double worth_kept(const Service& lookups, const Service& reports) {
  const double asked = static_cast<double>(lookups.first + 8 * reports.first);
  return asked == 0 ? 1 : static_cast<double>(lookups.in_time + 8 * reports.in_time) / asked;
}

class World : dispatch::ClientPort, dispatch::EnginePort, dispatch::Log {
 public:
  World(const config::Config& config, std::vector<EngineSettings> engines, std::vector<Load> loads,
        std::uint64_t seed);
  ~World() override;

  void at(Duration since_start, std::function<void()> what);  // an incident
  void run(Duration until_since_start);

  // Incidents.
  void kill(std::size_t engine);
  void revive(std::size_t engine);
  void slow_all(double times);
  void freeze(Duration how_long);  // the core stands still, and hears all afterwards
  void configure(const throttle::Settings& door) { core_->configure(now_, door); }
  void configure(const scheduler::Settings& queues) { core_->configure(now_, queues); }
  void leave() { hear(dispatch::BeginShutdown{}); }

  const std::vector<Service>& service() const { return service_; }
  const dispatch::Dispatcher& core() const { return *core_; }
  Time start() const { return start_; }
  Time now() const { return now_; }
  std::vector<std::string> actions;  // what left the core, where `record` is set
  bool record = false;
  Trace trace;  // of the core's events and of what it does

 private:
  struct Try {
    std::size_t load = 0;
    std::uint64_t client = 0;
    int number = 1;
    double work = 0;
    Time first{}, sent{};
    bool at_hint = false, open = true;
    std::string id;
    dispatch::SessionId session{};
    dispatch::CallId call = 0;
  };
  struct Engine {
    std::unique_ptr<EngineModel> model;
    config::Endpoint endpoint;
    std::string uid;
    bool up = true;
    std::map<std::string, dispatch::EngineConnectionId> runs;
  };
  struct Asked {  // by request id
    std::size_t load = 0;
    double work = 0;
    std::uint32_t group = 0;
    Time sent{};
    double quoted = -1;  // none, or done with
  };
  void hear(dispatch::Event event);
  void tell_trace(std::string_view what, std::uint64_t of, std::string_view rest) const;
  void later(Time time, std::function<void()> what);
  void arrivals(std::size_t load);
  void send_try(Try t);
  void answered(dispatch::SessionId session, dispatch::CallId call, const std::string& how, Duration hint);
  void again(const Try& t, Duration hint);
  void move_engines();
  void note_later(dispatch::EngineConnectionId link, const std::string& id);
  void list_engine(std::size_t engine, const char* state, bool cold);
  double draw() { return standin::draw(random_); }
  double draw_work(double mean);

  void send_result(dispatch::SessionId, dispatch::CallId, dispatch::Result) override;
  void send_rejection(dispatch::SessionId, dispatch::CallId, Duration) override;
  void send_failure(dispatch::SessionId, dispatch::CallId, std::string_view) override;
  void attach_quote(dispatch::SessionId, dispatch::CallId, const scheduler::WaitEstimate&) override;
  void send_readiness(dispatch::SessionId, dispatch::CallId, bool) override {}
  void close(dispatch::SessionId session) override;
  bool close_if_idle(dispatch::SessionId session) override { return close(session), true; }
  void connect(dispatch::EngineConnectionId link, const config::Endpoint& endpoint, Time deadline) override;
  void send(dispatch::EngineConnectionId link, dispatch::AttemptTag tag, EngineRequest request) override;
  bool withdraw(dispatch::EngineConnectionId, dispatch::AttemptTag) override { return false; }
  void cancel(dispatch::EngineConnectionId link, std::string_view id) override;
  void ping(dispatch::EngineConnectionId link, std::string_view tag) override;
  void set_priority(dispatch::EngineConnectionId link, std::string_view id, std::uint32_t band) override;
  void fetch_page(dispatch::EngineConnectionId, std::string_view, std::uint32_t) override {}
  void release_result(dispatch::EngineConnectionId, std::string_view) override {}
  void close(dispatch::EngineConnectionId link) override;
  void write(std::string_view) override {}

  const config::Config config_;
  Time start_{Duration(std::chrono::seconds(1000))}, now_ = start_;
  std::vector<Load> loads_;
  std::vector<Service> service_;
  std::vector<Engine> engines_;
  std::map<dispatch::EngineConnectionId, std::size_t> links_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  std::uint64_t order_ = 0, random_, last_id_ = 0, last_session_ = 0;
  std::map<std::pair<std::size_t, std::uint64_t>, dispatch::SessionId> sessions_;  // by load and client
  std::set<dispatch::SessionId> known_;
  std::map<std::pair<dispatch::SessionId, dispatch::CallId>, Try> open_;
  std::map<dispatch::SessionId, dispatch::CallId> calls_;
  std::map<std::string, Asked> asked_;
  Time frozen_until_{};
  std::set<std::pair<dispatch::SessionId, dispatch::CallId>>
      left_;  // gave up: an answer may still be on its way
  void check_answered(std::pair<dispatch::SessionId, dispatch::CallId> key);
  std::map<std::string, int> ran_;
  dispatch::Budget budget_{64 << 20};
  std::unique_ptr<dispatch::Dispatcher> core_;  // last: it uses the rest
};

}  // namespace yokestream::standin
