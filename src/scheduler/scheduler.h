// The queues: the station between the door and the decision module. It decides whose work the engines get
// next when they have less to give than is asked for: by team and its budget, within a team by age. It tells
// who arrives how long he will wait.
//
//  - Told events with a time, it answers with rulings; the core carries them out. No I/O, no clock, no client
//    and no engine. What waits here has not been told to the module, so none of it can have run.
//  - While there is room everybody passes at once, and nothing changes. Then teams wait (waiting.h), the next
//    is chosen by budget and fairness (accounts.h, fair_order.h); who would wait too long, by forecast
//    (forecast.h), is turned away at once.
//  - A quote is given once, on arrival, and kept beside the request; what came of it corrects the next ones.
//  - No admitted request waits longer than Settings::most_wait: by then it has gone or is turned away.
//  - It alone says what priority engines are told (bands.h).
//
// One thread may call it. Memory: made at the start for Settings::waiting entries (bytes()), and one record a
// request that is in, which the core's own limits bound.
#pragma once

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "scheduler/accounts.h"
#include "scheduler/bands.h"
#include "scheduler/fair_order.h"
#include "scheduler/forecast.h"
#include "scheduler/quote.h"
#include "scheduler/service_times.h"
#include "scheduler/waiting.h"
#include "throttle/capacity.h"
#include "throttle/cost.h"
#include "throttle/outcome.h"

namespace yokestream::scheduler {

struct Arrival {
  QueryId query{};
  std::size_t member = 0, cls = 0;
  double estimated_work_s = 0;  // the estimate, in seconds of one core; 0: none
  double threads = 1;           // that it runs on
  Time deadline{}, wanted{};
  bool load = false;
};

enum class Ruling { pass, wait, turn_away };
struct Verdict {
  Ruling ruling = Ruling::pass;
  Duration hint{};  // turned away: when to come back
  double cost = 0;  // else: what it is taken to cost, in seconds of one core
  Quote quote;
};
struct Moved {  // one that waited
  QueryId query{};
  Verdict verdict;
};

// What operators see; counts since the start. See docs/operators/queues.md.
struct Figures {
  std::uint64_t arrived = 0, passed_at_once = 0, waited = 0, turned_away = 0, expired = 0, rescued = 0;
  std::uint64_t quotes = 0, quotes_right = 0;            // of those that went
  std::uint64_t long_quotes = 0, long_quotes_right = 0;  // quoted or waited kShort or longer
  std::size_t waiting = 0, in = 0, sunk = 0;
  std::uint64_t nice = 0;
  double pace = 0, bound = 0, threads_in = 0, longest_wait = 0;
};

// A quote is right within this part of what came; waits under kShort on both sides are.
constexpr double kRight = 0.25, kShort = 0.1;
bool quote_right(double quoted, double came);

// The state as a value: balances, what waits, what is expected. Times are counted from the snapshot's moment.
struct Snapshot {
  struct Waits {
    QueryId query{};
    std::string team;
    std::size_t member = 0, cls = 0;
    double told = 0, cost = 0, threads = 1, quoted = 0;
    Duration waited{}, due_in{}, until_in{};
  };
  std::vector<Accounts::Balance> balances;
  std::vector<Waits> waiting;
  double pace = 0;
};

class Scheduler {
 public:
  Scheduler(Time now, Settings settings, std::size_t classes);

  // Teams may come, go and change; of one that goes, what waits goes on in its member's new team.
  void configure(Time now, const Settings& settings);
  void cores(Time now, double cores);

  Verdict arrive(Time now, const Arrival& arrival);
  Quote quote(Time now, const Arrival& arrival);  // what arrive() would quote; changes nothing
  // Over, in whatever way: given up while it waited, or finished after it passed.
  void over(Time now, QueryId query, const throttle::Outcome& outcome);
  std::optional<Moved> next(Time now);  // the next that is to go on or to be turned away; nullopt: nobody
  Time next_due(Time now) const;

  // The attempts of what has passed: the priority to start with, and changes of it.
  unsigned started(Time now, QueryId query, const std::string& engine, unsigned wish);
  std::optional<unsigned> wish(Time now, QueryId query, unsigned wish) {
    return bands_.wish(now, query, wish);
  }
  void ended(QueryId query) { bands_.end(query); }
  std::optional<Bands::Change> next_band(Time now);

  Figures figures() const;
  std::size_t team_of(std::size_t member) const;
  std::size_t teams() const { return settings_.teams.size(); }
  std::size_t waiting(std::size_t team) const { return waiting_.count(team); }
  Standing standing(Time now, std::size_t team) { return accounts_.standing(now, team); }
  double budget(Time now, std::size_t team) { return accounts_.budget(now, team); }
  Snapshot snapshot(Time now);
  // Those that found no room are returned: they are owed a refusal.
  std::vector<QueryId> restore(Time now, const Snapshot& snapshot);
  static std::size_t bytes(const Settings& settings);

 private:
  struct In {  // passed, not over
    std::size_t team = 0, member = 0, cls = 0;
    double told = 0, cost = 0, threads = 1;
    Time since{}, wanted{};
    bool borrowed = false, load = false;
    double held = 1;     // threads that it counts for
    double typical = 0;  // cost without surcharge
  };
  struct Waits {
    Ref ref = 0;
    Time wanted{};
    bool load = false;
  };
  // What a kind costs on the mean over what is usual (a median): the part of bad plans and of wide spread.
  struct Surcharge {
    double usual = 1, real = 1;  // sums that fade
    void learn(double of_usual, double of_real) {
      usual = 0.99 * usual + of_usual, real = 0.99 * real + of_real;
    }
    double factor() const { return std::clamp(real / usual, 0.2, 20.0); }
  };
  struct Team {
    std::vector<Surcharge> surcharge;  // by class
    std::vector<double> span;          // by class, seconds from arrival to the wanted time, smoothed
    std::vector<double> inflow;        // by class, engine-seconds a second, smoothed
    std::vector<Time> inflow_at;
    std::vector<double> ahead;  // by class, seconds from arrival to due, smoothed
    // Wait that came over the forecast before correction, by the forecast's size: short ones are off in other
    // ways than long ones.
    std::array<Distribution, 3> errors{Distribution{0.1, 10, 4000}, Distribution{0.1, 10, 4000},
                                       Distribution{0.1, 10, 4000}};
  };
  struct Expected {  // of one that would arrive now
    std::size_t team = 0;
    double typical = 0, cost = 0;  // seconds of one core: usual, and charged
    double raw = 0;                // forecast of its wait before correction, seconds
    double own = 0, span = 0;      // seconds from now to its due time, taken by itself; to its wanted time
    Time due{}, until{};
    Duration allowed{};  // a longer wait is not worth while
    Quote quote;
  };
  void lay_out(Time now);
  unsigned level(std::size_t team, std::size_t cls) const;
  double inflow(Time now, std::size_t team, std::size_t cls) const;
  void note_inflow(Time now, std::size_t team, std::size_t cls, double cost);
  void fill_tanks(Time now);
  double forecast(Time now, std::size_t team, Time due);
  Expected expect(Time now, const Arrival& arrival, bool room);
  std::size_t overdue(Time now, std::size_t but) const;
  bool room(Time now, std::size_t team);
  double typical(const In& in) const;
  void enter(Time now, QueryId query, const In& in, bool overdue = false);
  void went(Time now, const Entry& entry);
  Verdict turn_away(const Expected& expected, Duration allowed, QueryId query) const;
  void learn_pace(Time now);

  Settings settings_;
  std::size_t classes_;
  throttle::Capacity capacity_;
  throttle::CostEstimator cost_;
  Accounts accounts_;
  FairOrder order_;
  Waiting waiting_;
  ServiceTimes service_;
  Bands bands_;
  std::vector<Team> teams_;
  std::vector<Tank> tanks_, walked_;  // kept for their memory
  std::unordered_map<QueryId, In> in_;
  std::unordered_map<QueryId, Waits> waits_;
  double threads_in_ = 0, cores_ = 0;  // of what runs, sunk ones counted in part
  double pace_ = 0, window_gone_ = 0;  // what goes to engines while somebody waits, engine-seconds a second
  Time window_{};
  int pace_windows_ = 0, off_windows_ = 0;
  Figures figures_;
};

}  // namespace yokestream::scheduler
