// The decision module alone: random settings and events of every kind that its interface knows, its actions
// as the simulator's wire words them.
#include <map>
#include <random>

#include "line_hash.h"
#include "module_settings.h"
#include "simulator_adapter/wire.h"

namespace yokestream::golden {
namespace {

using namespace yokestream::policy;
using std::chrono::milliseconds;

constexpr int kEngines = 9;
constexpr Duration kDay = std::chrono::seconds(30);

class ModuleRun {
 public:
  explicit ModuleRun(std::uint32_t seed)
      : random_(seed), settings_(random_settings(random_)), controller_(settings_, seed, now_) {}

  Golden play(const std::string& name) {
    list(EngineListKind::full);
    const Time end = now_ + kDay;
    while (now_ < end) {
      now_ += milliseconds(1 + below(30));
      deliver_wakes();
      deliver_ends();
      arrive();
      disturb();
    }
    hash_.add(std::to_string(controller_.unavailable_engines()));
    return hash_.result(name);
  }

 private:
  struct Out {
    Send send;
    AttemptNumber attempt{};
    Time sent{};
  };

  std::uint64_t below(std::uint64_t n) { return random_() % n; }
  bool chance(std::uint64_t one_in) { return below(one_in) == 0; }

  void feed(const Event& event) {
    std::vector<Action> actions;
    controller_.handle(now_, event, actions);
    for (const Action& action : actions) {
      std::string line;
      simulator_adapter::encode(action, 1, line);
      hash_.add(std::to_string(now_.time_since_epoch().count()) + ' ' + line);
      act(action);
    }
  }
  void act(const Action& action) {
    if (const auto* wake = std::get_if<StartTimer>(&action)) wakes_.emplace(now_ + wake->delay, wake->token);
    if (const auto* probe = std::get_if<Probe>(&action))
      probes_.emplace(now_ + milliseconds(3), probe->engine);
    if (const auto* send = std::get_if<Send>(&action)) {
      const AttemptNumber attempt{attempts_[send->query]++};
      const auto length = milliseconds(chance(12) ? 3000 : 5 + below(700));
      out_.emplace(now_ + length, Out{*send, attempt, now_});
    }
    if (const auto* cancel = std::get_if<Cancel>(&action)) end_cancelled(*cancel);
  }
  void end_cancelled(const Cancel& cancel) {
    for (auto it = out_.begin(); it != out_.end(); ++it) {
      if (it->second.send.query != cancel.query || it->second.attempt != cancel.attempt) continue;
      cancelled_.push_back(it->second);
      out_.erase(it);
      return;
    }
  }

  void deliver_wakes() {
    while (!wakes_.empty() && wakes_.begin()->first <= now_) {
      const std::uint64_t token = wakes_.begin()->second;
      wakes_.erase(wakes_.begin());
      feed(TimerFired{token});
    }
    while (!probes_.empty() && probes_.begin()->first <= now_) {
      const EngineId engine = probes_.begin()->second;
      probes_.erase(probes_.begin());
      feed(ProbeEnded{engine, chance(9) ? Outcome::unreachable : Outcome::served, milliseconds(3), report()});
    }
  }
  void deliver_ends() {
    while (!cancelled_.empty()) {
      const Out out = cancelled_.back();
      cancelled_.pop_back();
      end(out, Outcome::cancelled);
    }
    while (!out_.empty() && out_.begin()->first <= now_) {
      const Out out = out_.begin()->second;
      out_.erase(out_.begin());
      constexpr Outcome kBad[] = {Outcome::error,       Outcome::shed,  Outcome::timed_out,
                                  Outcome::unreachable, Outcome::reset, Outcome::never_sent};
      end(out, chance(6) ? kBad[below(6)] : Outcome::served);
    }
  }
  void end(const Out& out, Outcome outcome) {
    AttemptEnded ended{out.send.query, out.attempt, out.send.engine, outcome, now_ - out.sent, false, {}};
    ended.query_finished = outcome == Outcome::served;
    if (chance(2)) ended.load_report = report();
    if (ended.query_finished && settings_.reports_cost) {
      ended.work = milliseconds(20 + below(800));
      ended.memory_mb = 64;
    }
    feed(ended);
  }
  std::vector<double> report() {
    return {static_cast<double>(below(12)), static_cast<double>(below(3)),
            static_cast<double>(below(100)) / 100, static_cast<double>(below(100)) / 100};
  }

  void arrive() {
    QueryArrived query;
    query.query = QueryId{++last_query_};
    const auto cls = static_cast<std::uint32_t>(below(4));
    query.query_class = ClassId{cls};
    query.tenant = TenantId{static_cast<std::uint32_t>(below(2))};
    query.table_group = TableGroupId{below(5)};
    if (cls == 3) query.order_key = OrderKey{below(4)};
    if (!chance(5)) query.memory_mb = static_cast<double>(32 + below(900));
    if (!chance(5)) query.work = milliseconds(10 + below(900));
    query.time_left = settings_.classes[cls].deadline - milliseconds(chance(4) ? below(900) : 0);
    query.is_retry = chance(8);
    if (chance(10)) query.eligible_engines = EngineSet(0x1f);
    feed(query);
  }
  // What happens beside arrivals and ends.
  void disturb() {
    if (chance(20)) feed(ClientDisconnected{QueryId{1 + below(last_query_)}});
    if (chance(25)) feed(EligibilityChanged{QueryId{1 + below(last_query_)}, EngineSet(chance(3) ? 0 : 0x3)});
    if (chance(30)) list(chance(5) ? EngineListKind::full : EngineListKind::delta);
    if (chance(60)) feed(EngineList{EngineListKind::failed, {}});
    if (chance(40)) feed(PeerMessage{ManagerId{static_cast<std::uint32_t>(below(6))}, payload()});
    if (!out_.empty() && chance(3)) note(out_.begin()->second);
    if (chance(700)) controller_.set_manager_count(2 + static_cast<double>(below(8)));
    if (chance(300)) now_ += milliseconds(250);
  }
  void note(const Out& out) {
    AttemptProgress note{out.send.query, out.attempt, out.send.engine, static_cast<ProgressKind>(below(4)),
                         0};
    note.value = note.kind == ProgressKind::progress ? 0.01 + static_cast<double>(below(90)) / 100 : 8;
    if (chance(12)) return feed(ResponseStarted{out.send.query, out.attempt, out.send.engine});
    feed(note);
  }
  std::string payload() {
    std::string bytes;
    for (std::uint64_t i = 4 + below(4); i > 0; --i) bytes += static_cast<char>(below(5));
    return bytes;
  }
  void list(EngineListKind kind) {
    EngineList list{kind, {}};
    for (int i = 0; i < kEngines; ++i) {
      if (kind == EngineListKind::delta && !chance(3)) continue;
      EngineEntry entry;
      entry.engine.name = "e" + std::to_string(i);
      entry.zone = ZoneId{static_cast<std::uint32_t>(i % 2)};
      entry.kind = KindId{static_cast<std::uint32_t>(i % 2)};
      entry.cell = CellId{static_cast<std::uint64_t>(i % 3)};
      entry.slot = static_cast<std::uint32_t>(i);
      entry.state = chance(7) ? EngineState::draining : chance(9) ? EngineState::removed : EngineState::up;
      if (chance(6)) starts_[i] = now_;
      if (starts_.count(i)) entry.start_time = starts_[i];
      list.entries.push_back(entry);
    }
    feed(list);
  }

  std::mt19937_64 random_;
  Time now_{std::chrono::seconds(100)};
  const Settings settings_;
  AdmissionController controller_;
  LineHash hash_;
  std::uint64_t last_query_ = 0;
  std::map<QueryId, std::uint32_t> attempts_;
  std::multimap<Time, std::uint64_t> wakes_;
  std::multimap<Time, EngineId> probes_;
  std::multimap<Time, Out> out_;
  std::vector<Out> cancelled_;
  std::map<int, Time> starts_;
};

}  // namespace

std::vector<Golden> module_streams() {
  std::vector<Golden> out;
  for (std::uint32_t seed = 1; seed <= 12; ++seed) {
    out.push_back(ModuleRun(seed).play("module-" + std::to_string(seed)));
  }
  return out;
}

}  // namespace yokestream::golden
