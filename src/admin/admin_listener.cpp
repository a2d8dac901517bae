#include "admin/admin_listener.h"

#include <fcntl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>
#include <utility>

#include "net/listening_socket.h"

namespace yokestream::admin {
namespace {

using net::Duration;
using net::Time;

constexpr Duration kConnectionTimeout = std::chrono::milliseconds(2000);  // callers give up after 1 s
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(20);     // while no descriptor is free
constexpr std::size_t kReadBytes = 256;
constexpr int kMaxReadsPerTurn = 8;  // per connection, so that the others get a turn

}  // namespace

// One caller: reads its request line, writes the answer and closes the connection. Poller thread only.
class AdminListener::Connection : public net::Pollable {
 public:
  Connection(AdminListener& listener, net::Fd fd)
      : listener_(listener), socket_(std::move(fd)), deadline_(net::now() + kConnectionTimeout) {}

  int descriptor() const override { return socket_.descriptor(); }
  Time next_due() const override { return deadline_; }
  void on_closed() override { listener_.remove_connection(this); }
  void abort() { socket_.abort(); }

  PollResult on_ready(Time now, bool) override {
    if (now >= deadline_) return PollResult::closed;
    if (!answered_ && !read_request()) return PollResult::closed;
    if (!answered_) return PollResult::wait_readable;
    const auto written = socket_.try_write(unsent_answer_);
    if (!written) return PollResult::closed;
    unsent_answer_.erase(0, *written);
    return unsent_answer_.empty() ? PollResult::closed : PollResult::wait_writable;
  }

 private:
  // Returns false if the caller has closed the connection without a request.
  bool read_request() {
    std::array<char, kReadBytes> bytes;
    for (int reads = 0; reads < kMaxReadsPerTurn; ++reads) {
      const auto size = socket_.try_read(bytes.data(), bytes.size());
      if (!size) break;
      if (*size == 0) reader_.end();
      reader_.feed({bytes.data(), *size});
      const auto call = reader_.call();
      if (!call && *size == 0) return false;
      if (!call) continue;
      unsent_answer_ = listener_.answer(*call);
      answered_ = true;
      break;
    }
    return true;
  }

  AdminListener& listener_;
  net::Socket socket_;
  const Time deadline_;
  protocol::ManagementReader reader_;
  std::string unsent_answer_;
  bool answered_ = false;
};

// The listening socket. The poller's thread only.
class AdminListener::Acceptor : public net::Pollable {
 public:
  Acceptor(AdminListener& listener, const config::Endpoint& endpoint)
      : fd_(net::listen_on(endpoint)), listener_(listener) {
    if (::fcntl(fd_.get(), F_SETFL, O_NONBLOCK) != 0)
      throw std::system_error(errno, std::generic_category(), "cannot accept admin connections");
  }
  const net::Fd& fd() const { return fd_; }
  int descriptor() const override { return fd_.get(); }
  Time next_due() const override { return retry_at_; }
  void on_closed() override {}

  // Failure: no descriptor is free. Symptom: accept() fails at once and repeatedly, and the thread spins.
  // Guard:
  // accept() is retried after a delay; connections in the backlog are accepted then.
  PollResult on_ready(Time now, bool) override {
    retry_at_ = Time::max();
    for (std::size_t attempts = 0; attempts < kMaxConnections; ++attempts) {
      net::Fd connection(::accept4(fd_.get(), nullptr, nullptr, SOCK_CLOEXEC));
      if (connection) {
        listener_.add_connection(std::move(connection));
      } else if (errno == EAGAIN) {
        return PollResult::wait_readable;
      } else if (errno != EINTR && errno != ECONNABORTED) {
        retry_at_ = now + kAcceptRetryDelay;
        return PollResult::wait_until_due;
      }
    }
    return PollResult::wait_readable;  // the rest is accepted after the other connections had a turn
  }

 private:
  net::Fd fd_;
  AdminListener& listener_;
  Time retry_at_ = Time::max();
};

AdminListener::AdminListener(const config::Endpoint& endpoint, const metrics::Metrics& metrics,
                             std::function<void()> on_first_ready)
    : metrics_(metrics),
      on_first_ready_(std::move(on_first_ready)),
      acceptor_(std::make_shared<Acceptor>(*this, endpoint)),
      poller_("operators") {
  poller_.add(acceptor_);
}

AdminListener::~AdminListener() = default;

config::Endpoint AdminListener::endpoint() const { return net::local_endpoint(acceptor_->fd()); }

// Failure: many callers connect and send nothing. Symptom: a caller with a request waits until they time out.
// Guard: at the limit the oldest unfinished connection is aborted, so a new one is always accepted.
void AdminListener::add_connection(net::Fd fd) {
  if (connections_.size() >= kMaxConnections) {
    connections_.front()->abort();
    connections_.pop_front();
  }
  connections_.push_back(std::make_shared<Connection>(*this, std::move(fd)));
  poller_.add(std::weak_ptr<net::Pollable>(connections_.back()));
}

void AdminListener::remove_connection(const Connection* connection) {
  std::erase_if(connections_, [&](const auto& open) { return open.get() == connection; });
}

// The failure texts are part of the wire protocol: the platform's staff reads them. "clients are sent away"
// means draining, "this process ends" means shutting down.
std::string AdminListener::answer_readyz() {
  const ServingState state = state_;
  if (drain_requested_ || state == ServingState::draining)
    return protocol::encode_failure("clients are sent away");
  if (state == ServingState::shutting_down) return protocol::encode_failure("this process ends");
  if (state == ServingState::starting) return protocol::encode_failure("not ready yet");
  if (!std::exchange(has_been_ready_, true)) on_first_ready_();
  return protocol::encode_success();
}

std::string AdminListener::set_drain_requested(bool requested) {
  if (state_ == ServingState::shutting_down) return protocol::encode_failure("this process ends");
  drain_requested_ = requested;
  return protocol::encode_success();
}

std::string AdminListener::answer(const protocol::ManagementCall& call) {
  if (const auto* bad = std::get_if<protocol::BadManagementCall>(&call))
    return protocol::encode_failure(bad->problem);
  switch (std::get<protocol::ManagementWord>(call)) {
    case protocol::ManagementWord::readyz:
      return answer_readyz();
    case protocol::ManagementWord::telemetry:
      return protocol::encode_success(metrics_.text() + "EOT\n");
    case protocol::ManagementWord::evacuate:
      return set_drain_requested(true);
    case protocol::ManagementWord::activate:
      return set_drain_requested(false);
  }
  return protocol::encode_failure("an unknown call");
}

}  // namespace yokestream::admin
