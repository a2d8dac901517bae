// A bound on the memory of all statements and results together, in bytes.
#pragma once

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <utility>

namespace yokestream::dispatch {

class Budget;

// Bytes reserved from a budget; the destructor returns them. Must not outlive the budget. Movable, one
// thread.
class Reservation {
 public:
  Reservation() = default;
  Reservation(Reservation&& other) noexcept
      : budget_(std::exchange(other.budget_, nullptr)), bytes_(std::exchange(other.bytes_, 0)) {}
  Reservation& operator=(Reservation&& other) noexcept {
    std::swap(budget_, other.budget_);
    std::swap(bytes_, other.bytes_);
    return *this;
  }
  ~Reservation();
  std::size_t amount() const { return bytes_; }

 private:
  friend class Budget;
  Budget* budget_ = nullptr;
  std::size_t bytes_ = 0;
};

// Thread-safe.
class Budget {
 public:
  explicit Budget(std::size_t bytes) : limit_(bytes) {}
  // Adds to what `reservation` has already. False: not so much is left, and nothing was reserved.
  bool try_reserve(Reservation& reservation, std::size_t bytes) {
    if (used_.fetch_add(bytes) + bytes > limit_ - std::min(limit_, withheld_.load())) {
      used_ -= bytes;
      return false;
    }
    reservation.budget_ = this;
    reservation.bytes_ += bytes;
    return true;
  }
  std::size_t reserved() const { return used_; }
  // So many bytes may not be reserved for now; what is reserved already stays.
  void set_withheld(std::size_t bytes) { withheld_ = bytes; }

 private:
  friend class Reservation;
  const std::size_t limit_;
  std::atomic<std::size_t> used_{0};
  std::atomic<std::size_t> withheld_{0};
};

inline Reservation::~Reservation() {
  if (budget_) budget_->used_ -= bytes_;
}

}  // namespace yokestream::dispatch
