// A fleet's deciders round one store on one virtual clock: calls and replies that are late, lost or late
// beyond the caller's patience, watches that are cut, processes that stop, go on, die and start again, clocks
// of different rates. One seeded scheduler, so that a run replays from its seed. For tests and measurements.
//
// Checks as it goes: what stands in the store by history.h, and that the parts in force never sum up to more
// than the whole. Memory: one decider a process, and the store's history.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "coordination/fleet_member.h"
#include "standin/edge.h"
#include "standin/history.h"
#include "standin/store_model.h"
#include "standin/trace.h"

namespace yokestream::standin {

struct DutySettings {
  std::size_t processes = 3;
  coordination::Settings duty;
  double lost = 0.02, replies_lost = 0.02, slow = 0.05;  // share of calls; slow: up to the caller's patience
  double watch_cut = 0.01;                               // share of a watch's messages after which it is cut
  double rates = 0.01;                                   // clocks run fast or slow by up to so much
  std::uint64_t seed = 1;
  EdgeSettings edges;  // what the processes send, where areas move
  Trace trace;         // of what the processes ask, are told, and act on
};

struct DutyFigures {
  std::uint64_t calls = 0, watch_events = 0;
  std::map<std::int64_t, std::size_t> grants_by_second;  // sessions begun, by second of the store
  std::vector<double> vacancies;  // seconds without an owner's write after an owner's end
  double most_in_force = 0;       // sum of the parts, of the whole
  std::string violation;          // empty: none
  EdgeFigures edges;
};

class DutyWorld {
 public:
  explicit DutyWorld(const DutySettings& settings);
  ~DutyWorld();

  void at(Duration since_start, std::function<void()> what);
  void run(Duration until_since_start);

  // Troubles.
  void stop(std::size_t process);  // stands still: its clock runs, it does nothing
  void go_on(std::size_t process);
  void kill(std::size_t process);
  void start(std::size_t process);                       // again, under its name
  void cut(std::size_t process, bool there, bool back);  // its way to the store
  void away(bool away) { away_ = away; }                 // the store answers nobody
  void traffic(std::size_t process, double per_s);
  void leave(std::size_t process);
  void ask(const std::string& what, const std::string& text);  // staff, of the owner (duty/names.h)
  void propose(const migration::Plan& plan);                   // asks for it, and holds it against its order
  migration::MigrationRecord migrations() const;               // as they stand in the store
  // One of these, or a start, by a number below kTroubles; the last one sets its traffic, too.
  static constexpr unsigned kTroubles = 9;
  void trouble(std::size_t process, std::uint64_t which, double per_s);
  // One of them each `every` before `until`, at a process drawn first, with the traffic that `per_s` gives
  // it.
  template <class Random, class Traffic>
  void troubles(Random random, Duration from, Duration until, Duration every, Traffic per_s) {
    for (Duration time = from; time < until; time += every) {
      const auto p = static_cast<std::size_t>(random() % settings_.processes);
      const std::uint64_t which = random() % kTroubles;
      at(time, [this, p, which, traffic = per_s(p)] { trouble(p, which, traffic); });
    }
  }
  void all_well(Duration since_start);  // from then on: each is reached, goes on and lives

  std::optional<std::size_t> owner() const;  // by the store's line, if it lives
  const coordination::FleetMember& fleet(std::size_t process) const;
  double part(std::size_t process) const;  // of the whole, in force now; 0: it does not live
  bool lives(std::size_t process) const;
  StoreModel& store() { return store_; }
  const StoreModel& store() const { return store_; }
  const DutyFigures& figures() const { return figures_; }
  Duration time() const { return now_ - start_; }

 private:
  struct Process;
  struct Due {
    Time time{};
    std::uint64_t order = 0;
    std::function<void()> what;
    bool operator>(const Due& other) const {
      return std::tie(time, order) > std::tie(other.time, other.order);
    }
  };
  void trace(std::size_t process, std::string_view what) const;
  void later(Time time, std::function<void()> what);
  double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  Time local(const Process& process) const;
  Duration delay();
  void reach(std::size_t process, std::uint64_t life, std::function<void()> what);
  void turn(std::size_t process);
  void ask(std::size_t process, const store::Request& request);
  void pump(std::size_t process);
  void pump_later(std::size_t process);
  void ended(std::size_t process);
  void changed();
  void check();
  void act(std::size_t process);
  void send(std::size_t process);

  const DutySettings settings_;
  std::mt19937_64 random_;
  Time start_{Duration(std::chrono::seconds(1000))}, now_ = start_;
  std::uint64_t order_ = 0;
  StoreModel store_;
  bool away_ = false;
  std::vector<std::unique_ptr<Process>> processes_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  DutyChecker checker_;
  MoveChecker moves_;
  std::size_t checked_ = 0;  // of the store's history
  std::optional<Time> vacant_since_;
  DutyFigures figures_;
};

}  // namespace yokestream::standin
