#include "net/engine_connection.h"

#include <array>

namespace yokestream::net {
namespace {

constexpr std::size_t kReadBytes = 8 * 1024;
constexpr int kMaxReadsPerCall = 8;  // so that the poller's other engines are read in time
constexpr std::size_t kMaxQueuedBytes = 1024 * 1024;
constexpr std::size_t kRequestOverheadBytes = 256;  // the size of a request's fields besides its statement
// An engine sends a response in one piece. A response that stays incomplete this long is never completed.
constexpr Duration kResponseTimeout = std::chrono::milliseconds(700);

}  // namespace

EngineConnection::EngineConnection(dispatch::EngineConnectionId id, const config::Endpoint& endpoint,
                                   Time connect_deadline, const std::vector<std::string>& report_fields,
                                   DispatcherQueue& event_queue, Poller& slow_writer_poller,
                                   metrics::Metrics& metrics)
    : id_(id),
      connect_deadline_(connect_deadline),
      event_queue_(event_queue),
      slow_writer_poller_(slow_writer_poller),
      connect_status_(socket_.start_connect(endpoint, &failure_)),
      reader_(report_fields),
      sender_(
          kMaxQueuedBytes, socket_, &EngineConnection::serialize,
          [this] { slow_writer_poller_.add(std::shared_ptr<Pollable>(shared_from_this(), &sender_)); },
          [&metrics](const Item& item) {
            if (std::holds_alternative<EngineRequest>(item.payload)) metrics.count_attempt();
          },
          [](const Item& item) {
            const auto* request = std::get_if<EngineRequest>(&item.payload);
            return request ? request->write_deadline : Time::max();
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
  if (!sender_.add(std::move(item), bytes)) abort();  // the connection is broken, or the engine does not read
}

void EngineConnection::send(dispatch::AttemptTag tag, EngineRequest request) {
  const std::size_t bytes = request.statement.size() + kRequestOverheadBytes;
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

// Notifies the dispatcher before anything is sent, so that it learns of the connection before its responses.
bool EngineConnection::complete_connect(bool is_ready) {
  if (connect_status_ == Socket::ConnectStatus::failed) return false;
  if (connect_status_ == Socket::ConnectStatus::pending &&
      (!is_ready || !socket_.finish_connect(&failure_))) {
    if (!is_ready) failure_ = {"connect timed out", false};
    return false;
  }
  connected_ = true;
  event_queue_.post(dispatch::Event(dispatch::EngineConnected{id_}));
  sender_.open();
  return true;
}

// Failure: an engine stops in the middle of a response. Symptom: its request and all later ones on the
// connection wait for ever. Guard: the connection is closed if a response is not complete by a deadline.
void EngineConnection::handle_bytes(std::string_view bytes) {
  reader_.feed(bytes);
  while (auto response = reader_.next()) {
    response_deadline_ = Time::max();
    event_queue_.post(dispatch::Event(dispatch::ResponseReceived{id_, std::move(*response)}));
  }
  if (reader_.pending() == 0)
    response_deadline_ = Time::max();
  else if (response_deadline_ == Time::max())
    response_deadline_ = now() + kResponseTimeout;
}

Pollable::PollResult EngineConnection::on_ready(Time now, bool is_ready) try {
  if (!connected_) {
    if (connect_status_ == Socket::ConnectStatus::pending && !is_ready && now < connect_deadline_)
      return PollResult::wait_writable;
    if (!complete_connect(is_ready)) return PollResult::closed;
  }
  std::array<char, kReadBytes> bytes;
  for (int reads = 0; reads < kMaxReadsPerCall; ++reads) {
    const auto size = socket_.try_read(bytes.data(), bytes.size());
    if (size == 0) return PollResult::closed;
    if (!size) break;
    handle_bytes({bytes.data(), *size});
  }
  if (now < response_deadline_) return PollResult::wait_readable;
  failure_.cause = "incomplete response timed out";
  return PollResult::closed;
} catch (const std::exception& error) {
  failure_.cause = error.what();
  return PollResult::closed;
}

void EngineConnection::on_closed() {
  abort();
  event_queue_.post(
      dispatch::Event(dispatch::EngineDisconnected{id_, failure_.cause, !connected_ && failure_.local}));
}

}  // namespace yokestream::net
