#include "standin/fleet.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "base/seconds.h"
#include "manager/manager.h"
#include "standin/pool.h"

namespace yokestream::standin {
namespace {

constexpr Duration kWire = std::chrono::microseconds(300);  // one way
constexpr Duration kAnswerBy = std::chrono::milliseconds(70);
constexpr Duration kRestart = std::chrono::seconds(1);
constexpr Duration kDrain = std::chrono::seconds(4);  // from the word that an engine drains to its end
constexpr std::uint16_t kFirstPort = 10000;
constexpr std::uint64_t kSessions = 8;  // of each manager
constexpr double kCores = 8;
constexpr double kToldPart = 0.5;  // told estimates are this part of the work, and scatter
constexpr double kToldScatter = 0.4;

struct Kind {
  double part, work, memory, patience, worth;
};
constexpr Kind kKinds[] = {{0.82, 0.13, 64, 4, 1}, {0.14, 2.0, 512, 25, 8}, {0.04, 1.5, 256, 25, 8}};

double mean_work() {
  double sum = 0;
  for (const Kind& kind : kKinds) sum += kind.part * kind.work;
  return sum;
}

}  // namespace

std::uint64_t FleetFigures::asked() const {
  std::uint64_t sum = 0;
  for (const auto& second : seconds) sum += second.asked;
  return sum;
}

double FleetFigures::kept(std::size_t from, std::size_t until) const {
  double worth = 0, asked = 0;
  for (std::size_t i = from; i < std::min(until, seconds.size()); ++i)
    worth += seconds[i].worth, asked += seconds[i].worth_asked;
  return asked > 0 ? worth / asked : 1;
}

// One manager: its core, and what stands for its sockets.
struct Fleet::Seat : manager::ClientPort, manager::EnginePort, manager::Log {
  struct Link {
    std::size_t engine = 0;
    bool up = false;
  };
  Seat(Fleet& f, std::size_t i, const config::Config& c) : fleet(f), index(i), config(c) {}

  void begin() {
    links.clear();
    calls.clear();
    config.known.resize(1);
    config.known.insert(config.known.end(), fleet.history_.begin(), fleet.history_.end());
    config.seed = fleet.random_ ^ (index + 1) ^ ++life;
    gone = fleet.gone_engines();
    const auto from_unix = [](std::int64_t ms) { return Time(std::chrono::milliseconds(ms)); };
    budget = std::make_unique<manager::Budget>(64 << 20);
    core = std::make_unique<manager::Manager>(config, fleet.now_, from_unix, *budget, *this, *this, *this);
    for (std::uint64_t id = 1; id <= kSessions; ++id) hear(manager::SessionBegan{manager::SessionId{id}, id});
  }
  void hear(manager::Event event) {
    if (!core) return;
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
  void over(std::uint64_t link, std::uint64_t in_life, manager::Event event) {
    if (life == in_life && core && links.count(link)) hear(std::move(event));
  }

  void serve(manager::SessionId, manager::CallId c, manager::Result) override { say(c, "served"); }
  void refuse(manager::SessionId, manager::CallId c, Duration) override { say(c, "refused"); }
  void fail(manager::SessionId, manager::CallId c, std::string_view) override { say(c, "failed"); }
  void say(manager::CallId call, const char* how) { fleet.answered(index, call, how); }
  void answer_probe(manager::SessionId, manager::CallId, bool) override {}
  void close(manager::SessionId) override {}
  bool close_idle(manager::SessionId) override { return false; }  // these clients are never idle for long

  void open(manager::LinkId link, const config::Endpoint& endpoint, Time deadline) override {
    const auto id = static_cast<std::uint64_t>(link);
    const auto engine = static_cast<std::size_t>(endpoint.port - kFirstPort);
    links[id] = {engine, false};
    ++fleet.figures_.handshakes;
    const bool silent = fleet.engines_[engine].silent;
    fleet.later(silent ? deadline : fleet.now_ + kWire + kWire, [this, id, engine, silent, in_life = life] {
      if (life != in_life || !links.count(id)) return;
      Engine& e = fleet.engines_[engine];
      if (!e.up || silent) {
        links.erase(id);
        return hear(manager::LinkEnded{manager::LinkId{id}, "not up"});
      }
      links[id].up = true;
      fleet.figures_.most_connections = std::max(fleet.figures_.most_connections, ++e.connections);
      hear(manager::LinkUp{manager::LinkId{id}});
    });
  }
  void send(manager::LinkId link, manager::SendTag, EngineRequest request) override {
    const auto id = static_cast<std::uint64_t>(link);
    const std::size_t engine = links.at(id).engine;
    ++fleet.figures_.sends;
    fleet.figures_.sends_to_gone += gone.count(engine);
    fleet.later(fleet.now_ + kWire + kWire + kWire, [this, id, engine, request, in_life = life] {
      if (life == in_life && links.count(id)) fleet.start(engine, index, id, request.id, request.band);
    });
  }
  bool withdraw(manager::LinkId, manager::SendTag) override { return false; }
  void stop(manager::LinkId link, std::string_view id) override {
    const std::size_t engine = links.at(static_cast<std::uint64_t>(link)).engine;
    fleet.later(fleet.now_ + kWire, [this, engine, id = std::string(id)] { fleet.stopped(engine, id); });
  }
  void hello(manager::LinkId link, std::string_view tag) override {
    const auto id = static_cast<std::uint64_t>(link);
    EngineAnswer green;
    green.id = std::string(tag);
    green.word = AnswerWord::green;
    fleet.later(fleet.now_ + kWire + kWire, [this, id, green, in_life = life] {
      if (life != in_life || !links.count(id)) return;
      const Engine& e = fleet.engines_[links[id].engine];
      if (e.up && !e.silent) hear(manager::Answered{manager::LinkId{id}, green});
    });
  }
  void nice(manager::LinkId link, std::string_view id, std::uint32_t band) override {
    const std::size_t engine = links.at(static_cast<std::uint64_t>(link)).engine;
    fleet.engines_[engine].model->nice(fleet.now_, std::string(id), band);
    fleet.reschedule(engine);
  }
  void fetch(manager::LinkId, std::string_view, std::uint32_t) override {}
  void end(manager::LinkId, std::string_view) override {}
  void close(manager::LinkId link) override {
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
  void note(std::string_view) override {}

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
  std::unique_ptr<manager::Budget> budget;
  std::unique_ptr<manager::Manager> core;  // last: it uses the rest
};

Fleet::Fleet(const FleetSettings& settings) : settings_(settings), random_(settings.seed) {
  PoolSettings pool;
  pool.cores = kCores;
  pool.capacity_per_s = 0;
  for (std::size_t i = 0; i < settings_.engines; ++i)
    pool.engines.push_back(engines_[add_engine(false)].endpoint);
  config::Config config = config::decode_config(platform_config(pool));
  config.settings.fronts = static_cast<std::uint32_t>(settings_.managers);
  const double capacity = kCores * static_cast<double>(settings_.engines);
  const double rate = settings_.load * capacity / mean_work();
  const auto busy = static_cast<std::size_t>(settings_.busy_part * static_cast<double>(settings_.managers));
  const double shares =
      static_cast<double>(settings_.managers - busy) + static_cast<double>(busy) * settings_.busy_times;
  for (std::size_t i = 0; i < settings_.managers; ++i) {
    seats_.push_back(std::make_unique<Seat>(*this, i, config));
    seats_[i]->per_s = rate / shares * (i < busy ? settings_.busy_times : 1);
    seats_[i]->begin();
    later(now_ + from_seconds(-std::log(1 - draw()) / seats_[i]->per_s), [this, i] { arrive(i); });
  }
  figures_.seconds.resize(static_cast<std::size_t>(std::ceil(seconds_of(settings_.length))));
}

Fleet::~Fleet() = default;

void Fleet::later(Time time, std::function<void()> what) {
  due_.push({std::max(time, now_), ++order_, std::move(what)});
}
void Fleet::at(Duration since_start, std::function<void()> what) {
  later(start_ + since_start, std::move(what));
}

FleetFigures Fleet::run() {
  const Time until = start_ + settings_.length + from_seconds(kKinds[kReport].patience) + kAnswerBy;
  while (true) {
    Time next = due_.empty() ? Time::max() : due_.top().time;
    if (!ends_.empty()) next = std::min(next, ends_.begin()->first);
    if (!ticks_.empty()) next = std::min(next, ticks_.begin()->first);
    if (next > until) break;
    now_ = std::max(now_, next);
    while (!ends_.empty() && ends_.begin()->first <= now_) move(ends_.begin()->second);
    while (!due_.empty() && due_.top().time <= now_) {
      const auto what = due_.top().what;
      due_.pop();
      what();
    }
    while (!ticks_.empty() && ticks_.begin()->first <= now_) seats_[ticks_.begin()->second]->tick();
  }
  now_ = until;
  for (const auto& [id, ask] : asks_) figures_.unanswered += ask.answers == 0 && !ask.lost;
  return figures_;
}

// ---- clients

void Fleet::arrive(std::size_t index) {
  if (now_ >= start_ + settings_.length) return;
  Seat& seat = *seats_[index];
  later(now_ + from_seconds(-std::log(1 - draw()) / seat.per_s), [this, index] { arrive(index); });
  Ask ask;
  const double which = draw();
  ask.cls = which < kKinds[kLookup].part                          ? kLookup
            : which < kKinds[kLookup].part + kKinds[kReport].part ? kReport
                                                                  : kLoad;
  const Kind& kind = kKinds[ask.cls];
  ask.seat = index;
  ask.work = kind.work * std::min(kMostWork, -std::log(1 - draw())) + 1e-3;
  ask.memory = kind.memory;
  ask.group = static_cast<std::uint32_t>(draw() * static_cast<double>(2 * settings_.engines));
  ask.sent = now_;
  ask.deadline = now_ + from_seconds(kind.patience);
  ask.second = static_cast<std::size_t>(seconds_of(now_ - start_));
  const double gauss = std::sqrt(-2 * std::log(1 - draw())) * std::cos(6.283185307 * draw());
  if (!seat.core) return;  // it is down: the front sends its clients elsewhere
  auto& second = figures_.seconds[ask.second];
  ++second.asked;
  second.worth_asked += kind.worth;
  char id[17];
  std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(++last_id_));
  manager::Arrived a;
  a.call = ++seat.last_call;
  a.session = manager::SessionId{a.call % kSessions + 1};
  a.request_id = id;
  a.cls = lynxstand::ClassId{static_cast<std::uint32_t>(ask.cls)};
  a.tables = lynxstand::TableGroupId{ask.group};
  a.memory_mb = ask.memory;
  a.work = from_seconds(ask.work * kToldPart * std::exp(kToldScatter * gauss));
  a.deadline = ask.deadline;
  a.statement = "select 1";
  seat.calls[a.call] = id;
  asks_.emplace(id, std::move(ask));
  seat.hear(std::move(a));
}

void Fleet::answered(std::size_t index, std::uint64_t call, const char* how) {
  Seat& seat = *seats_[index];
  const auto it = seat.calls.find(call);
  if (it == seat.calls.end()) {
    ++figures_.answered_twice;
    return;
  }
  Ask& ask = asks_.at(it->second);
  seat.calls.erase(it);
  ++ask.answers;
  if (now_ > ask.deadline + kAnswerBy) ++figures_.unanswered;
  auto& second = figures_.seconds[ask.second];
  const std::string_view word = how;
  if (word == "refused") ++second.refused;
  if (word == "failed") ++second.failed;
  if (word != "served") return;
  const double aim = kAimOf[ask.cls] + kStretchOf[ask.cls] * ask.work / kThreadsOf[ask.cls];
  if (seconds_of(now_ - ask.sent) > aim) {
    ++second.late;
    return;
  }
  ++second.in_time;
  second.worth += kKinds[ask.cls].worth;
}

// ---- engines

std::size_t Fleet::add_engine(bool cold) {
  Engine e;
  const std::size_t index = engines_.size();
  e.settings.cores = kCores;
  e.settings.seed = settings_.seed * 1000 + index;
  e.model = std::make_unique<EngineModel>(e.settings, now_, cold);
  e.endpoint = {"127.0.0.1", static_cast<std::uint16_t>(kFirstPort + index)};
  e.uid = "e" + std::to_string(index);
  if (cold) e.cold_since = now_;
  engines_.push_back(std::move(e));
  return index;
}

// What comes to a cold engine, also what it turns away: over a window it bears so many times what it can do.
void Fleet::note_cold(Engine& e, double work) {
  const auto& s = seats_.front()->config.settings;
  const double age = e.cold_since ? seconds_of(now_ - *e.cold_since) / seconds_of(s.cold) : 1;
  if (age >= 1) return;
  e.come.emplace_back(now_, work);
  double sum = 0;
  for (const auto& [time, w] : e.come) sum += now_ - time < s.tip_after ? w : 0;
  const double part = e.settings.cold_part + (1 - e.settings.cold_part) * age;
  if (e.tipped || sum <= s.tip_multiple * part * e.settings.cores * seconds_of(s.tip_after)) return;
  e.tipped = true;
  ++figures_.tipped;
}

void Fleet::start(std::size_t engine, std::size_t seat, std::uint64_t link, const std::string& id,
                  std::uint32_t band) {
  Engine& e = engines_[engine];
  if (!e.up || e.silent) return;
  move(engine);
  Ask& ask = asks_.at(id);
  note_cold(e, ask.work);
  Query query;
  query.id = id;
  query.work = ask.work;
  query.threads = kThreadsOf[ask.cls];
  query.memory = ask.memory;
  query.group = ask.group;
  query.band = band;
  query.load = ask.cls == kLoad;
  if (e.model->start(now_, query)) {
    e.runs[id] = {seat, link};
    if (++ask.runs > 1 && query.load) ++figures_.loads_run_twice;
    return reschedule(engine);
  }
  EngineAnswer full;
  full.id = id;
  full.word = AnswerWord::overload;
  Seat& to = *seats_[seat];
  later(now_ + kWire, [&to, link, full, life = to.life] {
    to.over(link, life, manager::Answered{manager::LinkId{link}, full});
  });
}

void Fleet::move(std::size_t engine) {
  Engine& e = engines_[engine];
  const double age = e.cold_since ? seconds_of(now_ - *e.cold_since) : 1e9;
  for (const auto& ended : e.model->advance(now_)) {
    const auto it = e.runs.find(ended.id);
    if (it == e.runs.end()) continue;
    const auto [seat, link] = it->second;
    e.runs.erase(it);
    if (age < seconds_of(e.settings.cold_for)) figures_.cold_work += ended.work;
    if (e.silent) continue;
    const EngineAnswer answer = served_answer(*e.model, ended);
    Seat& to = *seats_[seat];
    later(now_ + kWire, [&to, link, answer, life = to.life] {
      to.over(link, life, manager::Answered{manager::LinkId{link}, answer});
    });
  }
  reschedule(engine);
}

void Fleet::reschedule(std::size_t engine) {
  Engine& e = engines_[engine];
  ends_.erase({e.due, engine});
  e.due = Time::max();
  const auto next = e.up ? e.model->next_end(now_) : std::nullopt;
  if (!next) return;
  e.due = std::max(*next, now_ + Duration(1));
  ends_.emplace(e.due, engine);
}

void Fleet::stopped(std::size_t engine, const std::string& id) {
  Engine& e = engines_[engine];
  if (!e.up || e.silent || !e.runs.count(id)) return;
  move(engine);
  e.model->stop(now_, id);
  e.runs.erase(id);
  reschedule(engine);
}

void Fleet::list(std::size_t engine, const char* state) {
  const Engine& e = engines_[engine];
  const std::int64_t boot =
      e.cold_since
          ? std::chrono::duration_cast<std::chrono::milliseconds>(e.cold_since->time_since_epoch()).count()
          : 0;
  const auto event = config::decode_members(member_event(++last_event_, e.uid, e.endpoint, state, boot));
  history_.push_back(event);
  const bool leaves = std::string_view(state) != "up";
  for (auto& seat : seats_) {
    if (seat->deaf) continue;
    later(now_ + from_seconds(seconds_of(settings_.notice) * (0.5 + draw())),
          [this, s = seat.get(), event, engine, leaves, life = seat->life] {
            if (s->life != life || !s->core) return;
            if (leaves) later(now_ + std::chrono::milliseconds(250), [s, engine] { s->gone.insert(engine); });
            s->hear(manager::ListChanged{event});
          });
  }
}

void Fleet::end_engine(std::size_t engine) {
  Engine& e = engines_[engine];
  move(engine);
  e.up = false;
  e.runs.clear();
  reschedule(engine);
  for (auto& seat : seats_) {
    std::vector<std::uint64_t> lost;
    for (const auto& [id, link] : seat->links) {
      if (link.engine == engine) lost.push_back(id);
    }
    for (const auto id : lost) {
      seat->links.erase(id);
      seat->hear(manager::LinkEnded{manager::LinkId{id}, "reset"});
    }
  }
  list(engine, "removed");
}

// ---- incidents

void Fleet::replace(double part, Duration within) {
  const auto many = static_cast<std::size_t>(part * static_cast<double>(settings_.engines));
  for (std::size_t i = 0; i < many; ++i) {
    const Duration when = within * static_cast<Duration::rep>(i) / static_cast<Duration::rep>(many);
    later(now_ + when, [this, i] {
      list(add_engine(true), "up");
      figures_.cold_could += kCores * seconds_of(engines_.back().settings.cold_for) *
                             (1 + engines_.back().settings.cold_part) / 2;
      list(i, "draining");
      later(now_ + kDrain, [this, i] { end_engine(i); });
    });
  }
}

void Fleet::kill(double part) {
  const auto many = static_cast<std::size_t>(part * static_cast<double>(seats_.size()));
  for (std::size_t i = 0; i < many; ++i) {
    Seat& seat = *seats_[i];
    for (const auto& [call, id] : seat.calls) asks_.at(id).lost = true;
    for (std::size_t engine = 0; engine < engines_.size(); ++engine) {
      std::vector<std::string> open;
      for (const auto& [id, at] : engines_[engine].runs) {
        if (at.first == i) open.push_back(id);
      }
      for (const auto& id : open) stopped(engine, id);
    }
    seat.end();
    later(now_ + kRestart, [&seat] { seat.begin(); });
  }
}

void Fleet::deafen(double part) {
  for (std::size_t i = 0; i < static_cast<std::size_t>(part * static_cast<double>(seats_.size())); ++i)
    seats_[i]->deaf = true;
}

void Fleet::slow(double part, double times) {
  for (std::size_t i = 0; i < static_cast<std::size_t>(part * static_cast<double>(settings_.engines)); ++i) {
    move(i);
    engines_[i].model->slow(now_, times);
    reschedule(i);
  }
}

void Fleet::silence(double part, Duration how_long) {
  for (std::size_t i = 0; i < static_cast<std::size_t>(part * static_cast<double>(settings_.engines)); ++i) {
    engines_[i].silent = true;
    later(now_ + how_long, [this, i] { engines_[i].silent = false; });
  }
}

std::set<std::size_t> Fleet::gone_engines() const {
  std::set<std::size_t> out;
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    if (!engines_[i].up) out.insert(i);
  }
  return out;
}

}  // namespace yokestream::standin
