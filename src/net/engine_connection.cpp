#include "net/engine_connection.h"

#include <array>

namespace yokestream::net {
namespace {

constexpr std::size_t kReadBytes = 8 * 1024;
constexpr int kReadsAtOnce = 8;  // of one engine, then the others have their turn
constexpr std::size_t kOutboxBytes = 1024 * 1024;
// An answer leaves an engine in one piece; one that stops short never comes whole.
constexpr Duration kAnswerWithin = std::chrono::milliseconds(700);

}  // namespace

EngineConnection::EngineConnection(dispatch::EngineConnectionId id, const config::Endpoint& endpoint,
                                   Time deadline, const std::vector<std::string>& report_fields, Inbox& inbox,
                                   Poller& writer, figures::Figures& figures)
    : id_(id),
      connect_deadline_(deadline),
      inbox_(inbox),
      slow_writer_poller_(writer),
      connect_status_(socket_.start_connect(endpoint, &failure_)),
      reader_(report_fields),
      sender_(
          kOutboxBytes, socket_, &EngineConnection::serialize,
          [this] { slow_writer_poller_.add(std::shared_ptr<Pollable>(shared_from_this(), &sender_)); },
          [&figures](const Item& item) {
            if (std::holds_alternative<EngineRequest>(item.payload)) figures.attempt();
          },
          [](const Item& item) {
            const auto* request = std::get_if<EngineRequest>(&item.payload);
            return request ? request->lease_expiry : Time::max();
          }) {}

EngineConnection::~EngineConnection() { abort(); }

void EngineConnection::abort() {
  sender_.close();
  socket_.abort();
}

std::string EngineConnection::serialize(const Item& item) {
  const auto* request = std::get_if<EngineRequest>(&item.payload);
  return request ? protocol::encode_request(*request, now()) : std::get<std::string>(item.payload);
}

void EngineConnection::enqueue(Item item, std::size_t bytes) {
  if (!sender_.add(std::move(item), bytes)) abort();  // broken, or an engine that does not read
}

void EngineConnection::send(dispatch::AttemptTag tag, EngineRequest request) {
  const std::size_t bytes = request.statement.size() + 256;
  enqueue(Item{tag, std::move(request)}, bytes);
}

bool EngineConnection::withdraw(dispatch::AttemptTag tag) {
  return sender_.withdraw([&](const Item& item) {
    return item.tag == tag && std::holds_alternative<EngineRequest>(item.payload);
  });
}

void EngineConnection::send_command(std::string bytes) {
  const std::size_t size = bytes.size();
  enqueue(Item{0, std::move(bytes)}, size);
}

// Up: what waits leaves. The core hears of it first, and so of its answers later.
bool EngineConnection::complete_connect(bool asked) {
  if (connect_status_ == Socket::ConnectStatus::failed) return false;
  if (connect_status_ == Socket::ConnectStatus::pending && (!asked || !socket_.finish_connect(&failure_))) {
    if (!asked) failure_ = {"not up in time", false};
    return false;
  }
  connected_ = true;
  inbox_.post(dispatch::Event(dispatch::EngineConnected{id_}));
  sender_.open();
  return true;
}

// Guards against an answer that never comes whole: the connection is of no further use then.
void EngineConnection::handle_bytes(std::string_view bytes) {
  reader_.feed(bytes);
  while (auto answer = reader_.next()) {
    response_deadline_ = Time::max();
    inbox_.post(dispatch::Event(dispatch::ResponseReceived{id_, std::move(*answer)}));
  }
  if (reader_.pending() == 0)
    response_deadline_ = Time::max();
  else if (response_deadline_ == Time::max())
    response_deadline_ = now() + kAnswerWithin;
}

Pollable::PollResult EngineConnection::on_ready(Time now, bool asked) try {
  if (!connected_) {
    if (connect_status_ == Socket::ConnectStatus::pending && !asked && now < connect_deadline_)
      return PollResult::wait_writable;
    if (!complete_connect(asked)) return PollResult::closed;
  }
  std::array<char, kReadBytes> bytes;
  for (int reads = 0; reads < kReadsAtOnce; ++reads) {
    const auto size = socket_.try_read(bytes.data(), bytes.size());
    if (size == 0) return PollResult::closed;
    if (!size) break;
    handle_bytes({bytes.data(), *size});
  }
  if (now < response_deadline_) return PollResult::wait_readable;
  failure_.why = "an answer stopped short";
  return PollResult::closed;
} catch (const std::exception& problem) {
  failure_.why = problem.what();
  return PollResult::closed;
}

void EngineConnection::on_closed() {
  abort();
  inbox_.post(
      dispatch::Event(dispatch::EngineDisconnected{id_, failure_.why, !connected_ && failure_.local}));
}

}  // namespace yokestream::net
