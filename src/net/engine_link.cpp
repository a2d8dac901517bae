#include "net/engine_link.h"

#include <array>

namespace yokestream::net {
namespace {

constexpr std::size_t kReadBytes = 8 * 1024;
constexpr int kReadsAtOnce = 8;  // of one engine, then the others have their turn
constexpr std::size_t kOutboxBytes = 1024 * 1024;
// An answer leaves an engine in one piece; one that stops short never comes whole.
constexpr Duration kAnswerWithin = std::chrono::milliseconds(700);

}  // namespace

EngineLink::EngineLink(dispatch::EngineConnectionId id, const config::Endpoint& endpoint, Time deadline,
                       const std::vector<std::string>& report_fields, DispatcherQueue& inbox, Poller& writer,
                       figures::Figures& figures)
    : id_(id),
      up_by_(deadline),
      inbox_(inbox),
      writer_(writer),
      begun_(socket_.begin_connect(endpoint, &failure_)),
      reader_(report_fields),
      sender_(
          kOutboxBytes, socket_, &EngineLink::word,
          [this] { writer_.admit(std::shared_ptr<Watched>(shared_from_this(), &sender_)); },
          [&figures](const Item& item) {
            if (std::holds_alternative<EngineRequest>(item.what)) figures.attempt();
          },
          [](const Item& item) {
            const auto* request = std::get_if<EngineRequest>(&item.what);
            return request ? request->lease_expiry : Time::max();
          }) {}

EngineLink::~EngineLink() { break_off(); }

void EngineLink::break_off() {
  sender_.close();
  socket_.break_off();
}

std::string EngineLink::word(const Item& item) {
  const auto* request = std::get_if<EngineRequest>(&item.what);
  return request ? protocol::encode_request(*request, now()) : std::get<std::string>(item.what);
}

void EngineLink::add(Item item, std::size_t bytes) {
  if (!sender_.add(std::move(item), bytes)) break_off();  // broken, or an engine that does not read
}

void EngineLink::send(dispatch::AttemptTag tag, EngineRequest request) {
  const std::size_t bytes = request.statement.size() + 256;
  add(Item{tag, std::move(request)}, bytes);
}

bool EngineLink::withdraw(dispatch::AttemptTag tag) {
  return sender_.withdraw(
      [&](const Item& item) { return item.tag == tag && std::holds_alternative<EngineRequest>(item.what); });
}

void EngineLink::say(std::string bytes) {
  const std::size_t size = bytes.size();
  add(Item{0, std::move(bytes)}, size);
}

// Up: what waits leaves. The core hears of it first, and so of its answers later.
bool EngineLink::came_up(bool asked) {
  if (begun_ == Socket::Begun::failed) return false;
  if (begun_ == Socket::Begun::pending && (!asked || !socket_.finish_connect(&failure_))) {
    if (!asked) failure_ = {"not up in time", false};
    return false;
  }
  up_ = true;
  inbox_.post(dispatch::Event(dispatch::EngineConnected{id_}));
  sender_.open();
  return true;
}

// Guards against an answer that never comes whole: the connection is of no further use then.
void EngineLink::take(std::string_view bytes) {
  reader_.feed(bytes);
  while (auto answer = reader_.next()) {
    whole_by_ = Time::max();
    inbox_.post(dispatch::Event(dispatch::ResponseReceived{id_, std::move(*answer)}));
  }
  if (reader_.pending() == 0)
    whole_by_ = Time::max();
  else if (whole_by_ == Time::max())
    whole_by_ = now() + kAnswerWithin;
}

Watched::Look EngineLink::look(Time now, bool asked) try {
  if (!up_) {
    if (begun_ == Socket::Begun::pending && !asked && now < up_by_) return Look::writable;
    if (!came_up(asked)) return Look::ended;
  }
  std::array<char, kReadBytes> bytes;
  for (int reads = 0; reads < kReadsAtOnce; ++reads) {
    const auto size = socket_.read_now(bytes.data(), bytes.size());
    if (size == 0) return Look::ended;
    if (!size) break;
    take({bytes.data(), *size});
  }
  if (now < whole_by_) return Look::again;
  failure_.why = "an answer stopped short";
  return Look::ended;
} catch (const std::exception& problem) {
  failure_.why = problem.what();
  return Look::ended;
}

void EngineLink::end() {
  break_off();
  inbox_.post(dispatch::Event(dispatch::EngineDisconnected{id_, failure_.why, !up_ && failure_.local}));
}

}  // namespace yokestream::net
