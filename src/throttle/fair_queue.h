// Who goes next: start-time fair queueing over members by weight and, within a member, over queues of
// clients.
//
// Each member and each of its queues has a tag in virtual time that moves on by cost over weight with
// whatever goes; the lowest tag goes first, and one that was empty starts at the time that has been reached,
// so nobody saves up. Unused share goes to who asks; who wakes up is next. Costs are charged on going and
// corrected
// (`correct`) when the true cost is known.
//
// Bounded lag: while two members both have something waiting that may go, their tags differ by at most the
// largest cost over weight of either (Goyal, Vin, Cheng: SFQ, 1996); fair_queue_test checks it against a
// plain reference. Entries lie in one slab made at the start: no allocation afterwards. Choosing costs one
// pass over the members and one over a member's queues. Pure.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "throttle/clients.h"
#include "throttle/settings.h"

namespace yokestream::throttle {

class FairQueue {
 public:
  using Ref = std::uint32_t;  // an entry, while it waits
  static constexpr Ref kNone = ~Ref{0};
  struct Entry {
    QueryId query{};
    std::uint32_t member = 0, queue = 0;
    double cost = 0, threads = 1;
    Time until{};  // it has to go by then
  };

  FairQueue(std::size_t members, std::size_t entries);
  void weight(std::size_t member, double weight);
  double weight(std::size_t member) const { return members_[member].weight; }

  bool full() const { return free_ == kNone; }
  Ref push(const Entry& entry, bool first = false);  // not while full(); first: before all of its queue
  Entry remove(Ref ref);                             // leaves without going
  // The next of those members for which `may(member, threads)`, charged as gone.
  template <class May>
  std::optional<Entry> pop(May may) {
    std::size_t best = members_.size();
    for (std::size_t i = 0; i < members_.size(); ++i) {
      if (members_[i].count == 0) continue;
      if (best < members_.size() && members_[i].tag >= members_[best].tag) continue;
      if (may(i, slab_[members_[i].queues[next_queue(i)].head].entry.threads)) best = i;
    }
    if (best == members_.size()) return std::nullopt;
    return go(best);
  }
  void pass(std::size_t member, std::size_t queue, double cost);  // goes without waiting
  void correct(std::size_t member, std::size_t queue, double by);

  std::size_t size() const { return size_; }
  std::size_t count(std::size_t member) const { return members_[member].count; }
  // Of the queue: what waits before a newcomer, taking that queues of the member take turns.
  double before(std::size_t member, std::size_t queue) const;
  // Queues of the member that share what it gets, this one counted in.
  double turns(std::size_t member, std::size_t queue) const;
  double tag(std::size_t member) const { return members_[member].tag; }
  // The entry that must go first by time, and the newest of the member that has most waiting for its weight.
  Ref earliest() const { return heap_.empty() ? kNone : heap_[0]; }
  const Entry& at(Ref ref) const { return slab_[ref].entry; }
  std::size_t fattest() const;
  Ref newest(std::size_t member) const;

  // What the slab, the heap and the queues take, made at the start, in bytes.
  static std::size_t bytes(std::size_t members, std::size_t entries) {
    return entries * (sizeof(Node) + sizeof(Ref)) + members * sizeof(Member);
  }

 private:
  struct Node {
    Entry entry;
    Ref next = kNone, previous = kNone;
    std::uint32_t heap_at = 0;
  };
  struct Queue {
    Ref head = kNone, tail = kNone;
    double tag = 0, cost = 0;
  };
  struct Member {
    double weight = 1, tag = 0, reached = 0, cost = 0;
    std::size_t count = 0, waiting_queues = 0;
    std::array<Queue, Clients::kQueues> queues{};
  };
  std::size_t next_queue(std::size_t member) const;
  Entry go(std::size_t member);
  void charge(Member& member, Queue& queue, double cost);
  void heap_put(std::size_t at, Ref ref) { heap_[at] = ref, slab_[ref].heap_at = static_cast<Ref>(at); }
  void heap_up(std::size_t at);
  void heap_down(std::size_t at);
  void heap_erase(std::size_t at);

  std::vector<Node> slab_;
  std::vector<Ref> heap_;  // by `until`
  std::vector<Member> members_;
  Ref free_ = kNone;
  std::size_t size_ = 0;
  double reached_ = 0;  // virtual time: the start of what went last
};

}  // namespace yokestream::throttle
