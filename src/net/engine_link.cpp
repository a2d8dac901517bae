#include "net/engine_link.h"

#include <array>

#include "protocol/resp.h"

namespace yokestream::net {
namespace {

constexpr std::size_t kReadBytes = 8 * 1024;
constexpr std::size_t kOutboxBytes = 1024 * 1024;
// An answer leaves an engine in one piece; one that stops short never comes whole.
constexpr Duration kAnswerWithin = std::chrono::milliseconds(700);

}  // namespace

EngineLink::EngineLink(manager::LinkId id, const config::Endpoint& endpoint, Time deadline,
                       const std::vector<std::string>& report_fields, Inbox& inbox)
    : id_(id), report_fields_(report_fields), inbox_(inbox), outbox_(kOutboxBytes) {
  writer_ = Thread(kSmallStack, [this, endpoint, deadline] { write(endpoint, deadline); });
}

EngineLink::~EngineLink() {
  break_off();
  writer_.join();  // before the reader, which it starts
}

void EngineLink::break_off() {
  outbox_.close();
  socket_.break_off();
}

void EngineLink::add(Item item, std::size_t bytes) {
  if (!outbox_.add(std::move(item), bytes)) break_off();  // an engine that does not read
}

void EngineLink::send(manager::SendTag tag, EngineRequest request) {
  const std::size_t bytes = request.statement.size() + 256;
  add(Item{tag, std::move(request)}, bytes);
}

bool EngineLink::withdraw(manager::SendTag tag) {
  return outbox_.withdraw(
      [&](const Item& item) { return item.tag == tag && std::holds_alternative<EngineRequest>(item.what); });
}

void EngineLink::say(std::string bytes) {
  const std::size_t size = bytes.size();
  add(Item{0, std::move(bytes)}, size);
}

void EngineLink::write(const config::Endpoint& endpoint, Time deadline) {
  std::string why;
  if (!socket_.connect(endpoint, deadline, &why)) return ended(why);
  inbox_.post(manager::Event(manager::LinkUp{id_}));
  try {
    reader_ = Thread(kSmallStack, [this] { read(); });
  } catch (const std::exception& problem) {
    return ended(problem.what());
  }
  while (auto item = outbox_.take()) {
    const auto* request = std::get_if<EngineRequest>(&item->what);
    const auto written = socket_.write(request ? protocol::encode_request(*request, now())
                                               : std::get<std::string>(item->what));
    // Guards what must not run twice: on a connection that was reset before, nothing has left, and the core
    // may send it elsewhere.
    if (written == Socket::Written::none) outbox_.put_back(std::move(*item));
    if (written != Socket::Written::all) break;
  }
  socket_.break_off();
  ended("broken off");
}

void EngineLink::read() {
  protocol::RespReader reader(report_fields_);
  std::array<char, kReadBytes> bytes;
  std::string why = "closed or reset by the engine";
  try {
    Time whole_by = Time::max();
    while (const std::size_t size = socket_.read_until(bytes.data(), bytes.size(), whole_by)) {
      reader.feed({bytes.data(), size});
      while (auto answer = reader.next()) {
        whole_by = Time::max();
        inbox_.post(manager::Event(manager::Answered{id_, std::move(*answer)}));
      }
      if (reader.pending() == 0)
        whole_by = Time::max();
      else if (whole_by == Time::max())
        whole_by = now() + kAnswerWithin;
    }
    if (now() >= whole_by) why = "an answer stopped short";
  } catch (const std::exception& problem) {
    why = problem.what();
  }
  socket_.break_off();
  ended(std::move(why));
}

void EngineLink::ended(std::string why) {
  if (!told_ended_.exchange(true)) inbox_.post(manager::Event(manager::LinkEnded{id_, std::move(why)}));
}

}  // namespace yokestream::net
