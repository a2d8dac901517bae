// A bound on the memory that statements and results take together.
#pragma once

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <utility>

namespace yokestream::dispatch {

class Budget;

// Part of a budget; gives it back when it goes. Must not outlive the budget.
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
  std::size_t bytes() const { return bytes_; }

 private:
  friend class Budget;
  Budget* budget_ = nullptr;
  std::size_t bytes_ = 0;
};

class Budget {  // may be used from several threads
 public:
  explicit Budget(std::size_t bytes) : limit_(bytes) {}
  // Adds to what `held` holds already. False: there is not so much left, and nothing was taken.
  bool try_reserve(Reservation& held, std::size_t bytes) {
    if (used_.fetch_add(bytes) + bytes > limit_ - std::min(limit_, aside_.load())) {
      used_ -= bytes;
      return false;
    }
    held.budget_ = this;
    held.bytes_ += bytes;
    return true;
  }
  std::size_t reserved() const { return used_; }
  // So much of it is another's for now; what is taken already stays.
  void set_aside(std::size_t bytes) { aside_ = bytes; }

 private:
  friend class Reservation;
  const std::size_t limit_;
  std::atomic<std::size_t> used_{0}, aside_{0};
};

inline Reservation::~Reservation() {
  if (budget_) budget_->used_ -= bytes_;
}

}  // namespace yokestream::dispatch
