#include "net/poller.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>

namespace yokestream::net {
namespace {

constexpr std::size_t kAtOnce = 64;  // connections that one wait names
constexpr std::uint64_t kWake = ~std::uint64_t{0};
constexpr Duration kLookAgain = std::chrono::milliseconds(10);  // at what the system can't watch

}  // namespace

Poller::Poller(const char* name)
    : epoll_(::epoll_create1(EPOLL_CLOEXEC)), wake_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = kWake;
  if (!epoll_ || !wake_ || ::epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, wake_.get(), &event) != 0)
    throw std::system_error(errno, std::generic_category(), "cannot wait for connections");
  thread_ = Thread(name, kSmallStack, [this] { run(); });
}

Poller::~Poller() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake();
  thread_.join();
}

void Poller::wake() { raise_event(wake_); }

void Poller::add(std::weak_ptr<Pollable> connection) {
  {
    const std::lock_guard lock(mutex_);
    pending_.push_back(std::move(connection));
  }
  wake();
}

// One shot: a connection is named once and then again only after it has been looked at. Guards against a
// system that has no room to watch one more: nobody would read it, and what it asks would find no answer. It
// is looked at all the time instead, until there is room.
void Poller::arm(std::uint64_t number, Registration& guest, Pollable::PollResult look) {
  epoll_event event{};
  event.events = EPOLLONESHOT | (look == Pollable::PollResult::wait_writable ? EPOLLOUT : EPOLLRDHUP);
  if (look == Pollable::PollResult::wait_readable) event.events |= EPOLLIN;
  event.data.u64 = number;
  const int operation = guest.armed ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
  guest.armed = ::epoll_ctl(epoll_.get(), operation, guest.connection->descriptor(), &event) == 0;
}

void Poller::register_pending() {
  std::uint64_t count = 0;
  [[maybe_unused]] const auto read = ::read(wake_.get(), &count, sizeof count);
  std::vector<std::weak_ptr<Pollable>> coming;
  {
    const std::lock_guard lock(mutex_);
    coming.swap(pending_);
  }
  for (const auto& weak : coming) {
    auto connection = weak.lock();
    if (!connection) continue;  // gone meanwhile
    registrations_[++last_token_].connection = std::move(connection);
    notify(last_token_, false);
  }
}

void Poller::unregister(std::uint64_t number) {
  const auto it = registrations_.find(number);
  due_times_.erase({it->second.due, number});
  if (it->second.armed)
    ::epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, it->second.connection->descriptor(), nullptr);
  registrations_.erase(it);
}

void Poller::notify(std::uint64_t number, bool asked) {
  const auto it = registrations_.find(number);
  if (it == registrations_.end()) return;
  Registration& guest = it->second;
  const auto connection = guest.connection;
  due_times_.erase({guest.due, number});
  guest.due = Time::max();
  const auto look = connection->on_ready(now(), asked);
  if (look == Pollable::PollResult::closed || look == Pollable::PollResult::handed_over) {
    unregister(number);
    return look == Pollable::PollResult::closed ? connection->on_closed() : void();
  }
  if (look != Pollable::PollResult::wait_until_due) arm(number, guest, look);
  guest.due = connection->next_due();
  if (look != Pollable::PollResult::wait_until_due && !guest.armed)
    guest.due = std::min(guest.due, now() + kLookAgain);
  if (guest.due != Time::max()) due_times_.emplace(guest.due, number);
}

void Poller::run() {
  std::array<epoll_event, kAtOnce> events;
  while (true) {
    const Time next = due_times_.empty() ? Time::max() : due_times_.begin()->first;
    const int count =
        ::epoll_wait(epoll_.get(), events.data(), static_cast<int>(events.size()), milliseconds_until(next));
    {
      const std::lock_guard lock(mutex_);
      if (stopping_) return;
    }
    for (int i = 0; i < count; ++i) {
      const std::uint64_t number = events[static_cast<std::size_t>(i)].data.u64;
      number == kWake ? register_pending() : notify(number, true);
    }
    const Time time = now();
    while (!due_times_.empty() && due_times_.begin()->first <= time)
      notify(due_times_.begin()->second, false);
  }
}

}  // namespace yokestream::net
