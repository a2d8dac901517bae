#include "throttle/fair_queue.h"

#include <algorithm>

namespace yokestream::throttle {

FairQueue::FairQueue(std::size_t members, std::size_t entries) : slab_(entries), members_(members) {
  heap_.reserve(entries);
  for (std::size_t i = entries; i-- > 0;) slab_[i].next = free_, free_ = static_cast<Ref>(i);
}

void FairQueue::weight(std::size_t member, double weight) { members_[member].weight = weight; }

FairQueue::Ref FairQueue::push(const Entry& entry, bool first) {
  const Ref ref = free_;
  Node& node = slab_[ref];
  free_ = node.next;
  node.entry = entry;
  Member& m = members_[entry.member];
  Queue& q = m.queues[entry.queue];
  if (m.count++ == 0) m.tag = std::max(m.tag, reached_);
  if (q.head == kNone) q.tag = std::max(q.tag, m.reached), ++m.waiting_queues;
  node.next = first ? q.head : kNone;
  node.previous = first ? kNone : q.tail;
  (node.next == kNone ? q.tail : slab_[node.next].previous) = ref;
  (node.previous == kNone ? q.head : slab_[node.previous].next) = ref;
  q.cost += entry.cost;
  m.cost += entry.cost;
  ++size_;
  heap_.push_back(ref);
  heap_put(heap_.size() - 1, ref);
  heap_up(heap_.size() - 1);
  return ref;
}

FairQueue::Entry FairQueue::remove(Ref ref) {
  Node& node = slab_[ref];
  const Entry entry = node.entry;
  Member& m = members_[entry.member];
  Queue& q = m.queues[entry.queue];
  (node.next == kNone ? q.tail : slab_[node.next].previous) = node.previous;
  (node.previous == kNone ? q.head : slab_[node.previous].next) = node.next;
  if (q.head == kNone) --m.waiting_queues;
  q.cost = q.head == kNone ? 0 : q.cost - entry.cost;  // no rounding is left behind
  m.cost = --m.count == 0 ? 0 : m.cost - entry.cost;
  --size_;
  heap_erase(node.heap_at);
  node.next = free_;
  free_ = ref;
  return entry;
}

std::size_t FairQueue::next_queue(std::size_t member) const {
  const Member& m = members_[member];
  std::size_t best = m.queues.size();
  for (std::size_t i = 0; i < m.queues.size(); ++i) {
    if (m.queues[i].head == kNone) continue;
    if (best == m.queues.size() || m.queues[i].tag < m.queues[best].tag) best = i;
  }
  return best;
}

FairQueue::Entry FairQueue::go(std::size_t member) {
  Queue& q = members_[member].queues[next_queue(member)];
  const Entry entry = remove(q.head);
  charge(members_[member], q, entry.cost);
  return entry;
}

void FairQueue::charge(Member& m, Queue& q, double cost) {
  reached_ = std::max(reached_, m.tag);
  m.reached = std::max(m.reached, q.tag);
  m.tag += cost / m.weight;
  q.tag += cost;
}

void FairQueue::pass(std::size_t member, std::size_t queue, double cost) {
  Member& m = members_[member];
  Queue& q = m.queues[queue];
  if (m.count == 0) m.tag = std::max(m.tag, reached_);
  if (q.head == kNone) q.tag = std::max(q.tag, m.reached);
  charge(m, q, cost);
}

// Not below what has been reached: who overestimates gets back what was charged too much, no more.
void FairQueue::correct(std::size_t member, std::size_t queue, double by) {
  Member& m = members_[member];
  m.tag += by / m.weight;
  m.queues[queue].tag += by;
  if (by < 0) {
    m.tag = std::max(m.tag, std::min(reached_, m.tag - by / m.weight));
    Queue& q = m.queues[queue];
    q.tag = std::max(q.tag, std::min(m.reached, q.tag - by));
  }
}

double FairQueue::turns(std::size_t member, std::size_t queue) const {
  const Member& m = members_[member];
  return static_cast<double>(m.waiting_queues + (m.queues[queue].head == kNone ? 1 : 0));
}

double FairQueue::before(std::size_t member, std::size_t queue) const {
  const Member& m = members_[member];
  if (m.count == 0) return 0;
  const double of_each = m.cost / static_cast<double>(m.count);  // of each other queue one goes first
  const double others = turns(member, queue) - 1;
  return std::min(m.cost, (m.queues[queue].cost + of_each) * others + m.queues[queue].cost);
}

std::size_t FairQueue::fattest() const {
  std::size_t best = 0;
  for (std::size_t i = 1; i < members_.size(); ++i) {
    if (members_[i].cost / members_[i].weight > members_[best].cost / members_[best].weight) best = i;
  }
  return best;
}

FairQueue::Ref FairQueue::newest(std::size_t member) const {
  const Member& m = members_[member];
  const Queue* fat = nullptr;
  for (const Queue& q : m.queues) {
    if (q.head != kNone && (!fat || q.cost > fat->cost)) fat = &q;
  }
  return fat ? fat->tail : kNone;
}

void FairQueue::heap_up(std::size_t at) {
  const Ref ref = heap_[at];
  while (at > 0 && slab_[ref].entry.until < slab_[heap_[(at - 1) / 2]].entry.until) {
    heap_put(at, heap_[(at - 1) / 2]);
    at = (at - 1) / 2;
  }
  heap_put(at, ref);
}

void FairQueue::heap_down(std::size_t at) {
  const Ref ref = heap_[at];
  while (2 * at + 1 < heap_.size()) {
    std::size_t child = 2 * at + 1;
    if (child + 1 < heap_.size() && slab_[heap_[child + 1]].entry.until < slab_[heap_[child]].entry.until)
      ++child;
    if (slab_[ref].entry.until <= slab_[heap_[child]].entry.until) break;
    heap_put(at, heap_[child]);
    at = child;
  }
  heap_put(at, ref);
}

void FairQueue::heap_erase(std::size_t at) {
  const Ref last = heap_.back();
  heap_.pop_back();
  if (at == heap_.size()) return;
  heap_put(at, last);
  heap_up(at);
  heap_down(slab_[last].heap_at);
}

}  // namespace yokestream::throttle
