// The door: the station before the decision module. It decides who goes on, who waits and who is turned away,
// so that one member's flood takes nothing from the others' shares.
//
//  - It is told events with a time and answers with rulings; the core carries them out. It does no I/O, reads
//  no
//    clock, talks to no client and no engine, and judges a request once: what has passed is the module's, so
//    nothing here can make a load run twice, and refusing is always harmless.
//  - Within the bound on work in (capacity.h) everybody passes at once: an idle or lightly loaded door
//  changes
//    nothing. At the bound requests wait in fair queues (fair_queue.h); who would wait too long, or for whom
//    the time left would not suffice afterwards, is turned away at once with a time to come back.
//  - A hint is a promise: a place in the member's part of what the engines finish, booked one after another,
//  so
//    that those who come back do not come at one moment. Who comes at that time goes before newcomers; who
//    comes early hears the same time again, at the cost of one table look-up.
//
// One thread may call it. Memory: all made at the start, bounded by Settings (see bytes()), whatever the
// number of clients; requests that are in are counted, one record each, and bounded by the core's own limits.
#pragma once

#include <array>
#include <cstdint>
#include <memory_resource>
#include <optional>
#include <unordered_map>
#include <vector>

#include "throttle/capacity.h"
#include "throttle/clients.h"
#include "throttle/cost.h"
#include "throttle/fair_queue.h"
#include "throttle/outcome.h"
#include "throttle/places.h"
#include "throttle/settings.h"

namespace yokestream::throttle {

struct Arrival {
  QueryId query{};
  std::size_t member = 0, cls = 0;
  std::uint64_t client = 0;     // who shares a queue and may claim a kept place
  double estimated_work_s = 0;  // the estimate, in seconds of one core; 0: none
  double threads = 1;           // that it runs on
  Time deadline{};
};

enum class Ruling { pass, wait, turn_away };
struct Verdict {
  Ruling ruling = Ruling::pass;
  Duration hint{};  // turned away: when to come back
  double cost = 0;  // else: what it is taken to cost, in seconds of one core
};
struct Moved {  // one that waited
  QueryId query{};
  Verdict verdict;
};

// What operators see; counts since the start. See docs/operators/door.md.
struct Figures {
  std::uint64_t arrived = 0, passed_at_once = 0, waited = 0, turned_away = 0, early = 0, kept = 0,
                kept_in = 0;
  std::size_t waiting = 0, in = 0, places = 0;
  double bound = 0, threads_in = 0, drain_rate = 0, stretch = 1;
};

class Throttle {
 public:
  Throttle(Settings settings, std::size_t members, std::size_t classes);

  void configure(const Settings& settings);  // weights, times and hints take effect at once; sizes do not
  void cores(double cores) { capacity_.cores(cores); }
  double room() const { return settings_.room; }

  Verdict arrive(Time now, const Arrival& arrival);
  // Over, in whatever way: given up while it waited, or finished after it passed.
  void over(Time now, QueryId query, const Outcome& outcome);
  // The next of those who waited that is to go on or to be turned away now; nullopt: nobody.
  std::optional<Moved> next(Time now);
  Time next_due(Time now) const;  // when next() may have something to say though nothing happens

  Figures figures() const;
  static std::size_t bytes(const Settings& settings, std::size_t members);

 private:
  struct In {  // passed, not over
    std::uint32_t member = 0, queue = 0, cls = 0;
    double told = 0, cost = 0, threads = 1;
    Time since{};
  };
  struct Waits {
    FairQueue::Ref ref = FairQueue::kNone;
    std::uint32_t cls = 0;
    double told = 0;
    std::uint64_t key = 0;
  };
  struct Member {
    double threads_in = 0;
    std::size_t in = 0;
    Time asked{};                                 // its last arrival
    std::array<Time, Clients::kQueues> booked{};  // by queue: the last kept place
  };
  bool may_pass(std::size_t member, double threads) const;
  double share(std::size_t member) const { return queue_.weight(member) / weights_; }
  double rate_of(Time now, std::size_t member) const;
  Duration service_time(const Arrival& arrival, double cost) const;
  void enter(Time now, QueryId query, const In& in);
  Verdict turn_away(Time now, std::size_t member, std::size_t queue, std::uint64_t key, double cost);
  Moved put_out(Time now, FairQueue::Ref ref);

  Settings settings_;
  Capacity capacity_;
  Cost cost_;
  Clients clients_;
  FairQueue queue_;
  Places places_;
  std::vector<Member> members_;
  double weights_ = 1, threads_in_ = 0;
  std::pmr::unsynchronized_pool_resource pool_;  // what goes and comes takes nothing from the heap
  std::pmr::unordered_map<QueryId, In> in_{&pool_};
  std::pmr::unordered_map<QueryId, Waits> waits_{&pool_};
  std::vector<Moved> evicted_;
  std::uint64_t random_;
  Figures figures_;
};

}  // namespace yokestream::throttle
