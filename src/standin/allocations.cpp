#include "standin/allocations.h"

#include <atomic>
#include <cstdlib>
#include <new>

namespace {
std::atomic<std::uint64_t> count{0};
}  // namespace

void* operator new(std::size_t size) {
  count.fetch_add(1, std::memory_order_relaxed);
  if (void* memory = std::malloc(size)) return memory;
  throw std::bad_alloc();
}
void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }

namespace yokestream::standin {
std::uint64_t allocations() { return count; }
}  // namespace yokestream::standin
