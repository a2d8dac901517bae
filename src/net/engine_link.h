// One connection to an engine. The dock's thread sees it come up and then decodes answers (poller.h);
// requests are written by who sends them, and by the writer's thread while the engine is slow to read
// (sender.h). RESP.
#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "figures/figures.h"
#include "net/events.h"
#include "net/poller.h"
#include "net/sender.h"
#include "protocol/resp.h"

namespace yokestream::net {

class EngineLink : public Watched, public std::enable_shared_from_this<EngineLink> {
 public:
  // Begins to connect. It never throws and never tells at once: how it went is told by the dock's looks.
  EngineLink(dispatch::EngineConnectionId id, const config::Endpoint& endpoint, Time deadline,
             const std::vector<std::string>& report_fields, DispatcherQueue& inbox, Poller& writer,
             figures::Figures& figures);
  ~EngineLink() override;  // breaks off and joins

  void send(dispatch::AttemptTag tag, EngineRequest request);
  bool withdraw(dispatch::AttemptTag tag);
  void say(std::string bytes);
  void break_off();

  // For the dock's thread.
  int descriptor() const override { return socket_.descriptor(); }
  Look look(Time now, bool asked) override;
  Time due() const override { return up_ ? whole_by_ : up_by_; }
  void end() override;

 private:
  struct Item {
    dispatch::AttemptTag tag = 0;
    std::variant<EngineRequest, std::string> what;  // a request is worded when it leaves
  };
  static std::string word(const Item& item);
  void add(Item item, std::size_t bytes);
  bool came_up(bool asked);
  void take(std::string_view bytes);

  const dispatch::EngineConnectionId id_;
  const Time up_by_;
  DispatcherQueue& inbox_;
  Poller& writer_;
  Socket socket_;
  // The dock's thread only, once it is constructed. In this order: a connection that fails at its begin says
  // why.
  ConnectFailure failure_{"closed or reset by the engine", false};
  Socket::Begun begun_;
  protocol::RespReader reader_;
  bool up_ = false;
  Time whole_by_ = Time::max();  // an answer that has begun is whole by then
  Sender<Item> sender_;
};

}  // namespace yokestream::net
