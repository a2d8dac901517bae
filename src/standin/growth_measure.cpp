#include "standin/growth_measure.h"

#include <sys/resource.h>

#include <cmath>
#include <cstdio>
#include <map>
#include <queue>
#include <random>
#include <utility>
#include <vector>

#include "config/config.h"
#include "dispatch/dispatcher.h"
#include "standin/pool.h"

namespace yokestream::standin {
namespace {

using policy::Duration;
using policy::Time;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLength = seconds(30);
constexpr Duration kReplacedFrom = seconds(5), kReplacedWithin = seconds(7);
constexpr double kReplaced = 0.6;
constexpr Duration kTakes = milliseconds(150);
constexpr std::size_t kUsualEngines = 80;
constexpr double kCores = 8;

// Engines that answer each request after the same time; clients that only ask.
class Growth : dispatch::ClientPort, dispatch::EnginePort, dispatch::Log {
 public:
  explicit Growth(const GrowthSettings& settings)
      : settings_(settings), random_(settings.seed), config_(configure(settings)) {}

  void run() {
    plan_replacements();
    dispatch::Dispatcher core(
        config_, now_, [](std::int64_t ms) { return Time(Duration(ms * 1'000'000)); }, budget_, *this, *this,
        *this);
    core_ = &core;
    core.handle(now_, dispatch::SessionOpened{dispatch::SessionId{1}});
    const Time end = now_ + kLength;
    Time next_request = now_;
    while (now_ < end) {
      Time next = std::min(end, std::min(next_request, core.next_due()));
      if (!answers_.empty()) next = std::min(next, answers_.top().at);
      if (!changes_.empty()) next = std::min(next, changes_.begin()->first);
      now_ = std::max(now_, next);
      core.tick(now_);
      while (!changes_.empty() && changes_.begin()->first <= now_) {
        core.handle(now_, dispatch::EngineListChanged{changes_.begin()->second});
        changes_.erase(changes_.begin());
      }
      for (const dispatch::EngineConnectionId link : std::exchange(coming_up_, {}))
        core.handle(now_, dispatch::EngineConnected{link});
      while (!answers_.empty() && answers_.top().at <= now_) answer_next();
      if (next_request <= now_) {
        arrive();
        next_request += spread(1 / settings_.requests_per_s);
      }
    }
    report();
  }

 private:
  struct Due {
    Time at;
    dispatch::EngineConnectionId link{};
    std::string id;
    bool operator<(const Due& other) const { return at > other.at; }
  };

  static config::Config configure(const GrowthSettings& settings) {
    PoolSettings pool;
    // What all engines can do, counted for each manager, stays the same.
    pool.cores = kCores * static_cast<double>(kUsualEngines) / static_cast<double>(settings.engines) *
                 static_cast<double>(settings.managers) / 300;
    pool.capacity_per_s = 0;
    for (std::size_t i = 0; i < settings.engines; ++i) pool.engines.push_back(address(i));
    config::Config config = config::decode_config(platform_config(pool));
    config.settings.manager_count = static_cast<std::uint32_t>(settings.managers);
    return config;
  }
  static config::Endpoint address(std::size_t i) {
    return {"127.0." + std::to_string(i >> 8) + "." + std::to_string(i & 255), 7000};
  }

  Duration spread(double mean_s) {
    return Duration(
        static_cast<Duration::rep>(std::exponential_distribution<double>(1 / mean_s)(random_) * 1e9));
  }

  void plan_replacements() {
    const auto replaced = static_cast<std::size_t>(kReplaced * static_cast<double>(settings_.engines));
    std::uint64_t number = 1;
    const auto tell = [&](Time at, const std::string& uid, const config::Endpoint& where, const char* state,
                          std::int64_t boot_ms) {
      const std::string text = member_event(++number, uid, where, state, boot_ms);
      list_bytes_ += text.size();
      changes_.emplace(at, config::decode_members(text));
    };
    for (std::size_t i = 0; i < replaced; ++i) {
      const Time at =
          now_ + kReplacedFrom + kReplacedWithin * static_cast<int>(i) / static_cast<int>(replaced);
      const auto boot = at.time_since_epoch() / milliseconds(1);
      const std::string old_uid = numbered("e", i), new_uid = numbered("n", i);
      tell(at, new_uid, address(settings_.engines + i), "up", boot);
      tell(at + milliseconds(500), old_uid, address(i), "draining", 0);
      tell(at + seconds(2), old_uid, address(i), "removed", 0);
    }
  }

  void arrive() {
    char id[17];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(++asked_));
    dispatch::RequestReceived a;
    a.session = dispatch::SessionId{1};
    a.call = asked_;
    a.request_id = id;
    a.query_class = policy::ClassId{kLookup};
    a.memory_mb = 64;
    a.work = kTakes;
    a.deadline = now_ + seconds(4);
    a.statement = "select 1";
    core_->handle(now_, std::move(a));
  }
  void answer_next() {
    const Due due = answers_.top();
    answers_.pop();
    EngineResponse answer;
    answer.id = due.id;
    answer.type = ResponseType::result;
    answer.page_count = 1;
    answer.body = "a\tb\tc\n";
    answer.work_ms = 150;
    answer.load_report = {0, std::floor(0.4 * config_.settings.kinds[0].cores), 0};
    core_->handle(now_, dispatch::ResponseReceived{due.link, std::move(answer)});
  }
  void report() const {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    std::printf(
        "engines %zu managers %zu asked %llu served %llu refused %llu opened %llu most_open %zu "
        "list_bytes %llu peak_kb %ld\n",
        settings_.engines, settings_.managers, static_cast<unsigned long long>(asked_),
        static_cast<unsigned long long>(served_), static_cast<unsigned long long>(refused_),
        static_cast<unsigned long long>(opened_), most_open_, static_cast<unsigned long long>(list_bytes_),
        usage.ru_maxrss);
  }

  void send_result(dispatch::SessionId, dispatch::CallId, dispatch::Result) override { ++served_; }
  void send_rejection(dispatch::SessionId, dispatch::CallId, Duration) override { ++refused_; }
  void send_failure(dispatch::SessionId, dispatch::CallId, std::string_view) override { ++refused_; }
  void send_readiness(dispatch::SessionId, dispatch::CallId, bool) override {}
  void close(dispatch::SessionId) override {}
  bool close_if_idle(dispatch::SessionId) override { return false; }
  void connect(dispatch::EngineConnectionId link, const config::Endpoint&, Time) override {
    ++opened_;
    coming_up_.push_back(link);
    open_.emplace(link, false);
    most_open_ = std::max(most_open_, open_.size());
  }
  void send(dispatch::EngineConnectionId link, dispatch::AttemptTag, EngineRequest request) override {
    answers_.push({now_ + kTakes, link, request.id});
  }
  bool withdraw(dispatch::EngineConnectionId, dispatch::AttemptTag) override { return false; }
  void cancel(dispatch::EngineConnectionId, std::string_view) override {}
  void ping(dispatch::EngineConnectionId, std::string_view) override {}
  void set_priority(dispatch::EngineConnectionId, std::string_view, std::uint32_t) override {}
  void fetch_page(dispatch::EngineConnectionId, std::string_view, std::uint32_t) override {}
  void release_result(dispatch::EngineConnectionId, std::string_view) override {}
  void close(dispatch::EngineConnectionId link) override { open_.erase(link); }
  void write(std::string_view) override {}

  const GrowthSettings settings_;
  std::mt19937 random_;
  const config::Config config_;
  dispatch::Budget budget_{16 << 20};
  dispatch::Dispatcher* core_ = nullptr;
  Time now_{std::chrono::hours(10)};
  std::multimap<Time, config::MembersEvent> changes_;
  std::priority_queue<Due> answers_;
  std::map<dispatch::EngineConnectionId, bool> open_;
  std::vector<dispatch::EngineConnectionId> coming_up_;
  std::uint64_t asked_ = 0, served_ = 0, refused_ = 0, opened_ = 0, list_bytes_ = 0;
  std::size_t most_open_ = 0;
};

}  // namespace

void play_growth(const GrowthSettings& settings) { Growth(settings).run(); }

}  // namespace yokestream::standin
