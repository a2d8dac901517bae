#include "standin/link.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <vector>

#include "net/listening_socket.h"

namespace yokestream::standin {
namespace {

net::Fd connect_to(const config::Endpoint& to) {
  net::Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(to.port);
  ::inet_pton(AF_INET, to.host.c_str(), &address.sin_addr);
  if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) return {};
  return fd;
}

}  // namespace

Link::Link(const config::Endpoint& to)
    : to_(to),
      listener_(net::listen_on({"127.0.0.1", 0})),
      news_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)),
      endpoint_(net::local_endpoint(listener_)) {
  thread_ = net::Thread("link", net::kLargeStackBytes, [this] { run(); });
}

Link::~Link() {
  over_ = true;
  net::raise_event(news_);
  thread_.join();
}

void Link::there(Way way) { there_ = way, net::raise_event(news_); }
void Link::back(Way way) { back_ = way, net::raise_event(news_); }
void Link::close_all() { close_ = true, net::raise_event(news_); }
void Link::refuse(bool refuse_new) { refuse_ = refuse_new, net::raise_event(news_); }

// False: the connection has ended, or can't be written.
bool Link::carry(const net::Fd& from, const net::Fd& to, std::string& held, Way way, bool readable,
                 bool& over) {
  if (readable && !over && held.size() < kMostHeld) {
    char bytes[16 * 1024];
    const auto size = ::recv(from.get(), bytes, sizeof bytes, MSG_DONTWAIT);
    over = size == 0 || (size < 0 && errno != EAGAIN);
    if (size > 0) held.append(bytes, static_cast<std::size_t>(size));
  }
  if (way == Way::lose) held.clear();
  if (held.empty()) return !over;
  if (way != Way::pass) return true;
  const auto sent = ::send(to.get(), held.data(), held.size(), MSG_NOSIGNAL);
  if (sent < 0) return false;
  held.erase(0, static_cast<std::size_t>(sent));
  return !over || !held.empty();
}

void Link::run() {
  while (!over_) {
    std::vector<pollfd> all = {{news_.get(), POLLIN, 0}, {listener_.get(), POLLIN, 0}};
    for (const auto& pair : pairs_) {
      const bool room_there = pair.there.size() < kMostHeld, room_back = pair.back.size() < kMostHeld;
      all.push_back({room_there && !pair.near_over ? pair.near.get() : -1, POLLIN, 0});
      all.push_back({room_back && !pair.far_over ? pair.far.get() : -1, POLLIN, 0});
    }
    ::poll(all.data(), all.size(), -1);
    std::uint64_t news = 0;
    [[maybe_unused]] const auto read = ::read(news_.get(), &news, sizeof news);
    if (close_.exchange(false)) {
      for (auto& pair : pairs_) {
        const linger at_once{1, 0};
        setsockopt(pair.near.get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
      }
      pairs_.clear();
      continue;
    }
    std::size_t i = 2;
    for (auto it = pairs_.begin(); it != pairs_.end(); i += 2) {
      const Way there = there_, back = back_;
      it->spoilt = it->spoilt || (there == Way::lose && (!it->there.empty() || all[i].revents != 0)) ||
                   (back == Way::lose && (!it->back.empty() || all[i + 1].revents != 0));
      const bool good = !(it->spoilt && there != Way::lose && back != Way::lose) &&
                        carry(it->near, it->far, it->there, there, all[i].revents != 0, it->near_over) &&
                        carry(it->far, it->near, it->back, back, all[i + 1].revents != 0, it->far_over);
      it = good ? std::next(it) : pairs_.erase(it);
    }
    std::size_t held = 0;
    for (const auto& pair : pairs_) held += pair.there.size();
    held_there_ = held;
    if (all[1].revents == 0) continue;
    net::Fd near(::accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC));
    if (!near || refuse_) continue;
    net::Fd far = connect_to(to_);
    if (far) pairs_.push_back({std::move(near), std::move(far), {}, {}});
  }
}

}  // namespace yokestream::standin
