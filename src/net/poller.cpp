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
    over_ = true;
  }
  wake();
  thread_.join();
}

void Poller::wake() { raise_event(wake_); }

void Poller::admit(std::weak_ptr<Watched> connection) {
  {
    const std::lock_guard lock(mutex_);
    coming_.push_back(std::move(connection));
  }
  wake();
}

// One shot: a connection is named once and then again only after it has been looked at. Guards against a
// system that has no room to watch one more: nobody would read it, and what it asks would find no answer. It
// is looked at all the time instead, until there is room.
void Poller::watch(std::uint64_t number, Guest& guest, Watched::Look look) {
  epoll_event event{};
  event.events = EPOLLONESHOT | (look == Watched::Look::writable ? EPOLLOUT : EPOLLRDHUP);
  if (look == Watched::Look::again) event.events |= EPOLLIN;
  event.data.u64 = number;
  const int operation = guest.watched ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
  guest.watched = ::epoll_ctl(epoll_.get(), operation, guest.connection->descriptor(), &event) == 0;
}

void Poller::take_in() {
  std::uint64_t count = 0;
  [[maybe_unused]] const auto read = ::read(wake_.get(), &count, sizeof count);
  std::vector<std::weak_ptr<Watched>> coming;
  {
    const std::lock_guard lock(mutex_);
    coming.swap(coming_);
  }
  for (const auto& weak : coming) {
    auto connection = weak.lock();
    if (!connection) continue;  // gone meanwhile
    guests_[++last_].connection = std::move(connection);
    look_at(last_, false);
  }
}

void Poller::leave(std::uint64_t number) {
  const auto it = guests_.find(number);
  due_.erase({it->second.due, number});
  if (it->second.watched)
    ::epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, it->second.connection->descriptor(), nullptr);
  guests_.erase(it);
}

void Poller::look_at(std::uint64_t number, bool asked) {
  const auto it = guests_.find(number);
  if (it == guests_.end()) return;
  Guest& guest = it->second;
  const auto connection = guest.connection;
  due_.erase({guest.due, number});
  guest.due = Time::max();
  const auto look = connection->look(now(), asked);
  if (look == Watched::Look::ended || look == Watched::Look::taken) {
    leave(number);
    return look == Watched::Look::ended ? connection->end() : void();
  }
  if (look != Watched::Look::later) watch(number, guest, look);
  guest.due = connection->due();
  if (look != Watched::Look::later && !guest.watched) guest.due = std::min(guest.due, now() + kLookAgain);
  if (guest.due != Time::max()) due_.emplace(guest.due, number);
}

void Poller::run() {
  std::array<epoll_event, kAtOnce> events;
  while (true) {
    const Time next = due_.empty() ? Time::max() : due_.begin()->first;
    const int count =
        ::epoll_wait(epoll_.get(), events.data(), static_cast<int>(events.size()), milliseconds_until(next));
    {
      const std::lock_guard lock(mutex_);
      if (over_) return;
    }
    for (int i = 0; i < count; ++i) {
      const std::uint64_t number = events[static_cast<std::size_t>(i)].data.u64;
      number == kWake ? take_in() : look_at(number, true);
    }
    const Time time = now();
    while (!due_.empty() && due_.begin()->first <= time) look_at(due_.begin()->second, false);
  }
}

}  // namespace yokestream::net
