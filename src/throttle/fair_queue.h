// Weighted fair queueing: start-time fair queueing over tenants by weight and, within a tenant, over queues
// of clients.
//
// Each tenant and each of its queues has a tag in virtual time, which advances by cost over weight with every
// entry taken. The lowest tag is taken first. A tenant or queue that was empty starts at the current virtual
// time, so it is next but has saved up no credit, and the shares of idle tenants go to those that ask. Costs
// are charged when an entry is taken and corrected (`correct`) when the true cost is known.
//
// Bounded lag: while two tenants both have entries that may be taken, their tags differ by at most the
// largest cost over weight of either (Goyal, Vin, Cheng: Start-time Fair Queueing, 1996); throttle_test
// checks it. Entries lie in one slab allocated at the start; nothing is allocated later. Selecting an entry
// takes one pass over the tenants and one over the queues of a tenant.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "throttle/client_queues.h"
#include "throttle/settings.h"

namespace yokestream::throttle {

class FairQueue {
 public:
  using Ref = std::uint32_t;  // refers to an entry while it is queued
  static constexpr Ref kNone = ~Ref{0};
  struct Entry {
    QueryId query{};
    std::uint32_t tenant = 0, queue = 0;
    double cost = 0, threads = 1;
    Time expiry{};  // latest time at which it can be admitted and still meet its deadline
  };

  FairQueue(std::size_t tenants, std::size_t max_entries);
  void set_weight(std::size_t tenant, double weight);
  double weight(std::size_t tenant) const { return tenants_[tenant].weight; }

  bool full() const { return free_ == kNone; }
  Ref push(const Entry& entry, bool at_front = false);  // requires !full()
  Entry remove(Ref ref);                                // without charging its cost
  // Takes and charges the next entry among the tenants for which `may_pass(tenant, threads)` holds.
  template <class MayPass>
  std::optional<Entry> pop(MayPass may_pass) {
    std::size_t best = tenants_.size();
    for (std::size_t i = 0; i < tenants_.size(); ++i) {
      if (tenants_[i].count == 0) continue;
      if (best < tenants_.size() && tenants_[i].tag >= tenants_[best].tag) continue;
      if (may_pass(i, slab_[tenants_[i].queues[next_queue(i)].head].entry.threads)) best = i;
    }
    if (best == tenants_.size()) return std::nullopt;
    return take_next(best);
  }
  void charge_unqueued(std::size_t tenant, std::size_t queue, double cost);  // admitted without being queued
  void correct(std::size_t tenant, std::size_t queue, double cost_difference);

  std::size_t size() const { return size_; }
  std::size_t count(std::size_t tenant) const { return tenants_[tenant].count; }
  // Estimates the cost of the tenant's entries that are taken before a new entry of this queue, given that
  // the tenant's queues take turns.
  double cost_ahead(std::size_t tenant, std::size_t queue) const;
  // Number of the tenant's queues that share its rate, including this one.
  double active_queues(std::size_t tenant, std::size_t queue) const;
  double tag(std::size_t tenant) const { return tenants_[tenant].tag; }
  Ref earliest_expiry() const { return heap_.empty() ? kNone : heap_[0]; }
  const Entry& at(Ref ref) const { return slab_[ref].entry; }
  std::size_t largest_backlog() const;   // the tenant with the most queued cost for its weight
  Ref newest(std::size_t tenant) const;  // the last entry of the tenant's queue with the most cost

  // Bytes of the slab, the heap and the queues, allocated at the start.
  static std::size_t memory_bytes(std::size_t tenants, std::size_t max_entries) {
    return max_entries * (sizeof(Node) + sizeof(Ref)) + tenants * sizeof(Tenant);
  }

 private:
  struct Node {
    Entry entry;
    Ref next = kNone, previous = kNone;
    std::uint32_t heap_index = 0;
  };
  struct Queue {
    Ref head = kNone, tail = kNone;
    double tag = 0, cost = 0;
  };
  struct Tenant {
    double weight = 1, tag = 0, virtual_time = 0, cost = 0;
    std::size_t count = 0, nonempty_queues = 0;
    std::array<Queue, ClientQueues::kQueues> queues{};
  };
  std::size_t next_queue(std::size_t tenant) const;
  Entry take_next(std::size_t tenant);
  void charge(Tenant& tenant, Queue& queue, double cost);
  void heap_put(std::size_t at, Ref ref) { heap_[at] = ref, slab_[ref].heap_index = static_cast<Ref>(at); }
  void heap_up(std::size_t at);
  void heap_down(std::size_t at);
  void heap_erase(std::size_t at);

  std::vector<Node> slab_;
  std::vector<Ref> heap_;  // by `expiry`
  std::vector<Tenant> tenants_;
  Ref free_ = kNone;  // head of the list of free slab nodes
  std::size_t size_ = 0;
  double virtual_time_ = 0;  // start tag of the last entry taken
};

}  // namespace yokestream::throttle
