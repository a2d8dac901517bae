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

class EngineConnection : public Pollable, public std::enable_shared_from_this<EngineConnection> {
 public:
  // Begins to connect. It never throws and never tells at once: how it went is told by the dock's looks.
  EngineConnection(dispatch::EngineConnectionId id, const config::Endpoint& endpoint, Time deadline,
                   const std::vector<std::string>& report_fields, Inbox& inbox, Poller& writer,
                   figures::Figures& figures);
  ~EngineConnection() override;  // breaks off and joins

  void send(dispatch::AttemptTag tag, EngineRequest request);
  bool withdraw(dispatch::AttemptTag tag);
  void send_command(std::string bytes);
  void abort();

  // For the dock's thread.
  int descriptor() const override { return socket_.descriptor(); }
  PollResult on_ready(Time now, bool asked) override;
  Time next_due() const override { return connected_ ? response_deadline_ : connect_deadline_; }
  void on_closed() override;

 private:
  struct Item {
    dispatch::AttemptTag tag = 0;
    std::variant<EngineRequest, std::string> payload;  // a request is worded when it leaves
  };
  static std::string serialize(const Item& item);
  void enqueue(Item item, std::size_t bytes);
  bool complete_connect(bool asked);
  void handle_bytes(std::string_view bytes);

  const dispatch::EngineConnectionId id_;
  const Time connect_deadline_;
  Inbox& inbox_;
  Poller& slow_writer_poller_;
  Socket socket_;
  // The dock's thread only, once it is constructed. In this order: a connection that fails at its begin says
  // why.
  ConnectFailure failure_{"closed or reset by the engine", false};
  Socket::ConnectStatus connect_status_;
  protocol::RespReader reader_;
  bool connected_ = false;
  Time response_deadline_ = Time::max();  // an answer that has begun is whole by then
  Sender<Item> sender_;
};

}  // namespace yokestream::net
