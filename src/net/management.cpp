#include "net/management.h"

#include <fcntl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>

namespace yokestream::net {
namespace {

constexpr Duration kCallWithin = std::chrono::milliseconds(2000);  // a caller itself waits 1 s
constexpr Duration kLookAgain = std::chrono::milliseconds(20);     // where no descriptor is free
constexpr std::size_t kReadBytes = 256;
constexpr int kReadsAtOnce = 8;  // of one caller, then the others have their turn

}  // namespace

// One caller: its line, then what of the answer has not left yet.
class Management::Call : public Pollable {
 public:
  Call(Management& door, Fd fd) : door_(door), socket_(std::move(fd)), until_(now() + kCallWithin) {}

  int descriptor() const override { return socket_.descriptor(); }
  Time next_due() const override { return until_; }
  void on_closed() override { door_.done(this); }
  void turn_out() { socket_.abort(); }
  PollResult on_ready(Time now, bool) override {
    if (now >= until_) return PollResult::closed;
    if (!answered_ && !read()) return PollResult::closed;
    if (!answered_) return PollResult::wait_readable;
    const auto written = socket_.try_write(answer_);
    if (!written) return PollResult::closed;
    answer_.erase(0, *written);
    return answer_.empty() ? PollResult::closed : PollResult::wait_writable;
  }

 private:
  bool read() {  // false: it has gone without a line
    std::array<char, kReadBytes> bytes;
    for (int reads = 0; reads < kReadsAtOnce; ++reads) {
      const auto size = socket_.try_read(bytes.data(), bytes.size());
      if (!size) break;
      if (*size == 0) reader_.end();
      reader_.feed({bytes.data(), *size});
      const auto call = reader_.call();
      if (!call && *size == 0) return false;
      if (!call) continue;
      answer_ = door_.answer(*call);
      answered_ = true;
      break;
    }
    return true;
  }

  Management& door_;
  Socket socket_;
  const Time until_;
  protocol::ManagementReader reader_;
  std::string answer_;
  bool answered_ = false;
};

class Management::Entrance : public Pollable {
 public:
  Entrance(Management& door, const config::Endpoint& at) : fd_(listen_on(at)), door_(door) {
    if (::fcntl(fd_.get(), F_SETFL, O_NONBLOCK) != 0)
      throw std::system_error(errno, std::generic_category(), "cannot wait for operators");
  }
  const Fd& fd() const { return fd_; }
  int descriptor() const override { return fd_.get(); }
  Time next_due() const override { return due_; }
  void on_closed() override {}
  // Guards against an end of descriptors: who waits is let in when some are free again.
  PollResult on_ready(Time now, bool) override {
    due_ = Time::max();
    for (std::size_t taken = 0; taken < kMostCalls; ++taken) {
      Fd caller(::accept4(fd_.get(), nullptr, nullptr, SOCK_CLOEXEC));
      if (caller) {
        door_.let_in(std::move(caller));
      } else if (errno == EAGAIN) {
        return PollResult::wait_readable;
      } else if (errno != EINTR && errno != ECONNABORTED) {
        due_ = now + kLookAgain;
        return PollResult::wait_until_due;
      }
    }
    return PollResult::wait_readable;  // the rest after the others have had their turn
  }

 private:
  Fd fd_;
  Management& door_;
  Time due_ = Time::max();
};

Management::Management(const config::Endpoint& at, const figures::Figures& figures,
                       std::function<void()> on_yes)
    : figures_(figures),
      on_yes_(std::move(on_yes)),
      entrance_(std::make_shared<Entrance>(*this, at)),
      poller_("operators") {
  poller_.add(entrance_);
}

Management::~Management() = default;

config::Endpoint Management::endpoint() const { return local_endpoint(entrance_->fd()); }

// Guards a caller that has its line ready: it gets in, however many connect and say nothing.
void Management::let_in(Fd fd) {
  if (calls_.size() >= kMostCalls) {
    calls_.front()->turn_out();
    calls_.pop_front();
  }
  calls_.push_back(std::make_shared<Call>(*this, std::move(fd)));
  poller_.add(std::weak_ptr<Pollable>(calls_.back()));
}

void Management::done(const Call* call) {
  std::erase_if(calls_, [&](const auto& held) { return held.get() == call; });
}

std::string Management::readyz() {
  const Standing standing = standing_;
  if (evacuated_ || standing == Standing::draining) return protocol::encode_failure("clients are sent away");
  if (standing == Standing::leaving) return protocol::encode_failure("this process ends");
  if (standing == Standing::not_yet) return protocol::encode_failure("not ready yet");
  if (!std::exchange(said_yes_, true)) on_yes_();
  return protocol::encode_success();
}

std::string Management::wish(bool evacuated) {
  if (standing_ == Standing::leaving) return protocol::encode_failure("this process ends");
  evacuated_ = evacuated;
  return protocol::encode_success();
}

std::string Management::answer(const protocol::ManagementCall& call) {
  if (const auto* bad = std::get_if<protocol::BadManagementCall>(&call))
    return protocol::encode_failure(bad->problem);
  switch (std::get<protocol::ManagementWord>(call)) {
    case protocol::ManagementWord::readyz:
      return readyz();
    case protocol::ManagementWord::telemetry:
      return protocol::encode_success(figures_.text() + "EOT\n");
    case protocol::ManagementWord::evacuate:
      return wish(true);
    case protocol::ManagementWord::activate:
      return wish(false);
  }
  return protocol::encode_failure("an unknown call");
}

}  // namespace yokestream::net
