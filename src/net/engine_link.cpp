#include "net/engine_link.h"

#include <array>

#include "protocol/resp.h"

namespace yokestream::net {
namespace {

constexpr std::size_t kReadBytes = 8 * 1024;
constexpr std::size_t kOutboxBytes = 8 * 1024 * 1024;

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
  while (const auto item = outbox_.take()) {
    const auto* request = std::get_if<EngineRequest>(&item->what);
    const bool written = socket_.write(request ? protocol::encode_request(*request, now())
                                               : std::get<std::string>(item->what));
    if (!written) break;
  }
  socket_.break_off();
  ended("broken off");
}

void EngineLink::read() {
  protocol::RespReader reader(report_fields_);
  std::array<char, kReadBytes> bytes;
  std::string why = "closed or reset by the engine";
  try {
    while (const std::size_t size = socket_.read(bytes.data(), bytes.size())) {
      reader.feed({bytes.data(), size});
      while (auto answer = reader.next())
        inbox_.post(manager::Event(manager::Answered{id_, std::move(*answer)}));
    }
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
