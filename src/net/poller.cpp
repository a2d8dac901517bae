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

constexpr std::size_t kMaxEventsPerWait = 64;
constexpr std::uint64_t kWakeToken = ~std::uint64_t{0};
// The interval of calls to a connection that could not be added to the epoll set.
constexpr Duration kUnarmedRetryInterval = std::chrono::milliseconds(10);

}  // namespace

Poller::Poller(const char* thread_name)
    : epoll_(::epoll_create1(EPOLL_CLOEXEC)), wake_event_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = kWakeToken;
  if (!epoll_ || !wake_event_ || ::epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, wake_event_.get(), &event) != 0)
    throw std::system_error(errno, std::generic_category(), "cannot create an epoll set");
  thread_ = Thread(thread_name, kSmallStackBytes, [this] { run(); });
}

Poller::~Poller() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake();
  thread_.join();
}

void Poller::wake() { raise_event(wake_event_); }

void Poller::add(std::weak_ptr<Pollable> connection) {
  {
    const std::lock_guard lock(mutex_);
    pending_.push_back(std::move(connection));
  }
  wake();
}

void Poller::prompt(std::weak_ptr<Pollable> connection) {
  {
    const std::lock_guard lock(mutex_);
    prompted_.push_back(std::move(connection));
  }
  wake();
}

// EPOLLONESHOT: a connection is reported once, and again only after on_ready() has been called.
//
// Failure: the system cannot watch one more descriptor. Symptom: the connection is never read, and its
// requests get no response. Guard: on_ready() is called periodically until the descriptor can be added.
void Poller::arm(std::uint64_t token, Registration& registration, Pollable::PollResult result) {
  epoll_event event{};
  event.events = EPOLLONESHOT | (result == Pollable::PollResult::wait_writable ? EPOLLOUT : EPOLLRDHUP);
  if (result == Pollable::PollResult::wait_readable) event.events |= EPOLLIN;
  event.data.u64 = token;
  const int operation = registration.armed ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
  registration.armed =
      ::epoll_ctl(epoll_.get(), operation, registration.connection->descriptor(), &event) == 0;
}

void Poller::register_pending() {
  std::uint64_t count = 0;
  [[maybe_unused]] const auto read = ::read(wake_event_.get(), &count, sizeof count);
  std::vector<std::weak_ptr<Pollable>> added, prompted;
  {
    const std::lock_guard lock(mutex_);
    added.swap(pending_);
    prompted.swap(prompted_);
  }
  for (const auto& weak : added) {
    auto connection = weak.lock();
    if (!connection) continue;  // destroyed meanwhile
    registrations_[++last_token_].connection = std::move(connection);
    notify(last_token_, false);
  }
  for (const auto& weak : prompted) {
    if (const auto connection = weak.lock()) notify_prompted(connection);
  }
}

void Poller::notify_prompted(const std::shared_ptr<Pollable>& connection) {
  const auto it = std::find_if(registrations_.begin(), registrations_.end(),
                               [&](const auto& entry) { return entry.second.connection == connection; });
  if (it != registrations_.end()) notify(it->first, false);
}

void Poller::unregister(std::uint64_t token) {
  const auto it = registrations_.find(token);
  due_times_.erase({it->second.due, token});
  if (it->second.armed)
    ::epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, it->second.connection->descriptor(), nullptr);
  registrations_.erase(it);
}

void Poller::notify(std::uint64_t token, bool is_ready) {
  const auto it = registrations_.find(token);
  if (it == registrations_.end()) return;
  Registration& registration = it->second;
  const auto connection = registration.connection;
  due_times_.erase({registration.due, token});
  registration.due = Time::max();
  const auto result = connection->on_ready(now(), is_ready);
  if (result == Pollable::PollResult::closed || result == Pollable::PollResult::handed_over) {
    unregister(token);
    if (result == Pollable::PollResult::closed) connection->on_closed();
    return;
  }
  if (result != Pollable::PollResult::wait_until_due) arm(token, registration, result);
  registration.due = connection->next_due();
  if (result != Pollable::PollResult::wait_until_due && !registration.armed)
    registration.due = std::min(registration.due, now() + kUnarmedRetryInterval);
  if (registration.due != Time::max()) due_times_.emplace(registration.due, token);
}

void Poller::run() {
  std::array<epoll_event, kMaxEventsPerWait> events;
  while (true) {
    const Time next = due_times_.empty() ? Time::max() : due_times_.begin()->first;
    const int count =
        ::epoll_wait(epoll_.get(), events.data(), static_cast<int>(events.size()), milliseconds_until(next));
    {
      const std::lock_guard lock(mutex_);
      if (stopping_) return;
    }
    for (int i = 0; i < count; ++i) {
      const std::uint64_t token = events[static_cast<std::size_t>(i)].data.u64;
      if (token == kWakeToken)
        register_pending();
      else
        notify(token, true);
    }
    const Time time = now();
    while (!due_times_.empty() && due_times_.begin()->first <= time)
      notify(due_times_.begin()->second, false);
  }
}

}  // namespace yokestream::net
