// The memory that one client makes this process hold: its input until the dispatcher has handled it, and the
// responses that it has not read.
//
// Failure: many clients send more than is handled, or do not read. Symptom: the process exceeds its memory
// limit and is killed. Guard: each client has a small allowance; everything beyond all allowances comes from
// one budget. When it is used up, a client is not read until something of its own has been released, so it
// can always send a request of ordinary size and receive its response.
//
// Failure: clients that never send anything useful use up the budget. Symptom: larger requests of all others
// wait for as long as they do. Guard: clients without a result share one half of the budget.
#pragma once

#include <algorithm>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>

#include "dispatch/budget.h"

namespace yokestream::net {

// Thread-safe. All amounts are bytes.
class ClientMemory {
 public:
  // A charged amount; the destructor releases it. Must not outlive the ClientMemory. Movable, not
  // thread-safe.
  class Charge {
   public:
    Charge() = default;
    Charge(Charge&& other) noexcept
        : memory_(std::exchange(other.memory_, nullptr)), amount_(std::exchange(other.amount_, 0)) {}
    Charge& operator=(Charge&& other) noexcept {
      std::swap(memory_, other.memory_);
      std::swap(amount_, other.amount_);
      return *this;
    }
    ~Charge() { shrink_to(0); }
    [[nodiscard]] std::size_t amount() const { return amount_; }
    // Releases what exceeds `amount`.
    void shrink_to(std::size_t amount) {
      if (amount >= amount_) return;
      memory_->release(amount_ - amount);
      amount_ = amount;
    }
    // Takes `amount` over from another charge of the same client.
    void take_from(Charge& other, std::size_t amount) {
      const std::size_t taken = std::min(amount, other.amount_);
      other.amount_ -= taken;
      amount_ += taken;
      memory_ = other.memory_;
    }

   private:
    friend class ClientMemory;
    Charge(ClientMemory* memory, std::size_t amount) : memory_(memory), amount_(amount) {}
    ClientMemory* memory_ = nullptr;
    std::size_t amount_ = 0;
  };

  ClientMemory(dispatch::Budget& budget, std::size_t allowance) : budget_(budget), allowance_(allowance) {}

  // The client has had a result: it may use the whole budget.
  void on_served() {
    const std::lock_guard lock(mutex_);
    was_served_ = true;
  }
  // nullopt: neither the allowance nor the budget has room; nothing is charged.
  std::optional<Charge> try_charge(std::size_t amount) {
    const std::lock_guard lock(mutex_);
    const std::size_t needed = beyond_allowance(charged_ + amount);
    const std::size_t reserved = reservation_.amount();
    const std::size_t keep_free = was_served_ ? 0 : budget_.limit() / 2;
    if (needed > reserved && !budget_.try_reserve(reservation_, needed - reserved, keep_free))
      return std::nullopt;
    charged_ += amount;
    return Charge(this, amount);
  }
  // For what must be held in any case: may exceed the allowance without the budget. The client is not read
  // again before enough has been released.
  Charge charge(std::size_t amount) {
    const std::lock_guard lock(mutex_);
    charged_ += amount;
    return Charge(this, amount);
  }

 private:
  std::size_t beyond_allowance(std::size_t charged) const { return charged - std::min(charged, allowance_); }
  void release(std::size_t amount) {
    const std::lock_guard lock(mutex_);
    charged_ -= amount;
    reservation_.shrink_to(beyond_allowance(charged_));
  }

  dispatch::Budget& budget_;
  const std::size_t allowance_;
  std::mutex mutex_;
  bool was_served_ = false;            // guarded by mutex_
  std::size_t charged_ = 0;            // guarded by mutex_
  dispatch::Reservation reservation_;  // guarded by mutex_; what exceeds the allowance
};

}  // namespace yokestream::net
