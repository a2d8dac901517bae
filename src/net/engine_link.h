// One connection to an engine. The dock's thread sees it come up and then decodes answers (poller.h);
// requests are written by who sends them, and by a writer thread once the engine is slow to read (sender.h).
// RESP.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "net/events.h"
#include "net/poller.h"
#include "net/sender.h"
#include "protocol/resp.h"

namespace yokestream::net {

class EngineLink : public Watched {
 public:
  // Begins to connect. It never throws and never tells at once: how it went is told by the dock's looks.
  EngineLink(manager::LinkId id, const config::Endpoint& endpoint, Time deadline,
             const std::vector<std::string>& report_fields, Inbox& inbox);
  ~EngineLink() override;  // breaks off and joins

  void send(manager::SendTag tag, EngineRequest request);
  bool withdraw(manager::SendTag tag);
  void say(std::string bytes);
  void break_off();

  // For the dock's thread.
  std::uint64_t number() const override { return static_cast<std::uint64_t>(id_); }
  int descriptor() const override { return socket_.descriptor(); }
  Look look(Time now, bool asked) override;
  Time due() const override { return up_ ? whole_by_ : up_by_; }
  void end() override;

 private:
  struct Item {
    manager::SendTag tag = 0;
    std::variant<EngineRequest, std::string> what;  // a request is worded when it leaves
  };
  static std::string word(const Item& item);
  void add(Item item, std::size_t bytes);
  bool came_up(bool asked);
  void take(std::string_view bytes);

  const manager::LinkId id_;
  const Time up_by_;
  Inbox& inbox_;
  Socket socket_;
  Socket::Begun begun_;
  // The dock's thread only.
  protocol::RespReader reader_;
  bool up_ = false;
  Time whole_by_ = Time::max();  // an answer that has begun is whole by then
  std::string why_ = "closed or reset by the engine";
  Sender<Item> sender_;  // last: its writer uses the rest
};

}  // namespace yokestream::net
