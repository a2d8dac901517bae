// A thread-safe limit on a countable resource, such as bytes of statements and results, client connections or
// reader threads.
#pragma once

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <utility>

namespace yokestream::dispatch {

class Budget;

// An amount reserved from a budget; the destructor returns it. Must not outlive the budget. Movable, not
// thread-safe.
class Reservation {
 public:
  Reservation() = default;
  Reservation(Reservation&& other) noexcept
      : budget_(std::exchange(other.budget_, nullptr)), amount_(std::exchange(other.amount_, 0)) {}
  Reservation& operator=(Reservation&& other) noexcept {
    std::swap(budget_, other.budget_);
    std::swap(amount_, other.amount_);
    return *this;
  }
  ~Reservation();
  std::size_t amount() const { return amount_; }
  // Returns what exceeds `amount` to the budget.
  void shrink_to(std::size_t amount);

 private:
  friend class Budget;
  Budget* budget_ = nullptr;
  std::size_t amount_ = 0;
};

// Thread-safe.
class Budget {
 public:
  explicit Budget(std::size_t limit) : limit_(limit) {}
  // Adds `amount` to `reservation`. Returns false, and reserves nothing, if less than that is available, or
  // less than `keep_free` would be left.
  bool try_reserve(Reservation& reservation, std::size_t amount, std::size_t keep_free = 0) {
    if (used_.fetch_add(amount) + amount > limit_ - std::min(limit_, withheld_.load() + keep_free)) {
      used_ -= amount;
      return false;
    }
    reservation.budget_ = this;
    reservation.amount_ += amount;
    return true;
  }
  std::size_t reserved() const { return used_; }
  std::size_t limit() const { return limit_; }
  // Makes `amount` unavailable to new reservations until the next call. Existing reservations are kept.
  void set_withheld(std::size_t amount) { withheld_ = amount; }

 private:
  friend class Reservation;
  const std::size_t limit_;
  std::atomic<std::size_t> used_{0};
  std::atomic<std::size_t> withheld_{0};
};

inline Reservation::~Reservation() { shrink_to(0); }

inline void Reservation::shrink_to(std::size_t amount) {
  if (amount >= amount_) return;
  budget_->used_ -= amount_ - amount;
  amount_ = amount;
}

}  // namespace yokestream::dispatch
