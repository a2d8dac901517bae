#include "throttle/fair_queue.h"

#include <algorithm>

namespace yokestream::throttle {

FairQueue::FairQueue(std::size_t tenants, std::size_t max_entries) : slab_(max_entries), tenants_(tenants) {
  heap_.reserve(max_entries);
  for (std::size_t i = max_entries; i-- > 0;) slab_[i].next = free_, free_ = static_cast<Ref>(i);
}

void FairQueue::set_weight(std::size_t tenant, double weight) { tenants_[tenant].weight = weight; }

FairQueue::Ref FairQueue::push(const Entry& entry, bool at_front) {
  const Ref ref = free_;
  Node& node = slab_[ref];
  free_ = node.next;
  node.entry = entry;
  Tenant& tenant = tenants_[entry.tenant];
  Queue& queue = tenant.queues[entry.queue];
  if (tenant.count++ == 0) tenant.tag = std::max(tenant.tag, virtual_time_);
  if (queue.head == kNone) queue.tag = std::max(queue.tag, tenant.virtual_time), ++tenant.nonempty_queues;
  node.next = at_front ? queue.head : kNone;
  node.previous = at_front ? kNone : queue.tail;
  (node.next == kNone ? queue.tail : slab_[node.next].previous) = ref;
  (node.previous == kNone ? queue.head : slab_[node.previous].next) = ref;
  queue.cost += entry.cost;
  tenant.cost += entry.cost;
  ++size_;
  heap_.push_back(ref);
  heap_put(heap_.size() - 1, ref);
  heap_up(heap_.size() - 1);
  return ref;
}

FairQueue::Entry FairQueue::remove(Ref ref) {
  Node& node = slab_[ref];
  const Entry entry = node.entry;
  Tenant& tenant = tenants_[entry.tenant];
  Queue& queue = tenant.queues[entry.queue];
  (node.next == kNone ? queue.tail : slab_[node.next].previous) = node.previous;
  (node.previous == kNone ? queue.head : slab_[node.previous].next) = node.next;
  if (queue.head == kNone) --tenant.nonempty_queues;
  // Sums of empty queues are set to zero, so that rounding errors do not accumulate.
  queue.cost = queue.head == kNone ? 0 : queue.cost - entry.cost;
  tenant.cost = --tenant.count == 0 ? 0 : tenant.cost - entry.cost;
  --size_;
  heap_erase(node.heap_index);
  node.next = free_;
  free_ = ref;
  return entry;
}

std::size_t FairQueue::next_queue(std::size_t tenant_index) const {
  const Tenant& tenant = tenants_[tenant_index];
  std::size_t best = tenant.queues.size();
  for (std::size_t i = 0; i < tenant.queues.size(); ++i) {
    if (tenant.queues[i].head == kNone) continue;
    if (best == tenant.queues.size() || tenant.queues[i].tag < tenant.queues[best].tag) best = i;
  }
  return best;
}

FairQueue::Entry FairQueue::take_next(std::size_t tenant) {
  Queue& queue = tenants_[tenant].queues[next_queue(tenant)];
  const Entry entry = remove(queue.head);
  charge(tenants_[tenant], queue, entry.cost);
  return entry;
}

void FairQueue::charge(Tenant& tenant, Queue& queue, double cost) {
  virtual_time_ = std::max(virtual_time_, tenant.tag);
  tenant.virtual_time = std::max(tenant.virtual_time, queue.tag);
  tenant.tag += cost / tenant.weight;
  queue.tag += cost;
}

void FairQueue::charge_unqueued(std::size_t tenant_index, std::size_t queue_index, double cost) {
  Tenant& tenant = tenants_[tenant_index];
  Queue& queue = tenant.queues[queue_index];
  if (tenant.count == 0) tenant.tag = std::max(tenant.tag, virtual_time_);
  if (queue.head == kNone) queue.tag = std::max(queue.tag, tenant.virtual_time);
  charge(tenant, queue, cost);
}

// A refund does not take a tag below the virtual time: a tenant that overestimates gets back what it was
// overcharged and no more.
void FairQueue::correct(std::size_t tenant_index, std::size_t queue_index, double cost_difference) {
  Tenant& tenant = tenants_[tenant_index];
  Queue& queue = tenant.queues[queue_index];
  tenant.tag += cost_difference / tenant.weight;
  queue.tag += cost_difference;
  if (cost_difference < 0) {
    tenant.tag = std::max(tenant.tag, std::min(virtual_time_, tenant.tag - cost_difference / tenant.weight));
    queue.tag = std::max(queue.tag, std::min(tenant.virtual_time, queue.tag - cost_difference));
  }
}

double FairQueue::active_queues(std::size_t tenant_index, std::size_t queue) const {
  const Tenant& tenant = tenants_[tenant_index];
  return static_cast<double>(tenant.nonempty_queues + (tenant.queues[queue].head == kNone ? 1 : 0));
}

double FairQueue::cost_ahead(std::size_t tenant_index, std::size_t queue_index) const {
  const Tenant& tenant = tenants_[tenant_index];
  if (tenant.count == 0) return 0;
  const Queue& queue = tenant.queues[queue_index];
  const double mean_cost = tenant.cost / static_cast<double>(tenant.count);  // one entry of each other queue
  const double other_queues = active_queues(tenant_index, queue_index) - 1;
  return std::min(tenant.cost, (queue.cost + mean_cost) * other_queues + queue.cost);
}

std::size_t FairQueue::largest_backlog() const {
  std::size_t best = 0;
  for (std::size_t i = 1; i < tenants_.size(); ++i) {
    if (tenants_[i].cost / tenants_[i].weight > tenants_[best].cost / tenants_[best].weight) best = i;
  }
  return best;
}

FairQueue::Ref FairQueue::newest(std::size_t tenant) const {
  const Queue* largest = nullptr;
  for (const Queue& queue : tenants_[tenant].queues) {
    if (queue.head != kNone && (!largest || queue.cost > largest->cost)) largest = &queue;
  }
  return largest ? largest->tail : kNone;
}

void FairQueue::heap_up(std::size_t at) {
  const Ref ref = heap_[at];
  while (at > 0 && slab_[ref].entry.expiry < slab_[heap_[(at - 1) / 2]].entry.expiry) {
    heap_put(at, heap_[(at - 1) / 2]);
    at = (at - 1) / 2;
  }
  heap_put(at, ref);
}

void FairQueue::heap_down(std::size_t at) {
  const Ref ref = heap_[at];
  while (2 * at + 1 < heap_.size()) {
    std::size_t child = 2 * at + 1;
    if (child + 1 < heap_.size() && slab_[heap_[child + 1]].entry.expiry < slab_[heap_[child]].entry.expiry)
      ++child;
    if (slab_[ref].entry.expiry <= slab_[heap_[child]].entry.expiry) break;
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
  heap_down(slab_[last].heap_index);
}

}  // namespace yokestream::throttle
