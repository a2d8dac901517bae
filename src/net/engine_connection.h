// A connection to an engine that speaks RESP.
//
// The engine poller's thread completes the connect and then decodes responses (poller.h). Requests are
// written by the thread that sends them, and by the poller for slow writers while the engine is slow to read
// (sender.h). EnginePortAdapter owns the connection; pollers share it while it is registered with them.
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
  // Starts a connect that times out at `connect_deadline`. Does not throw or report an outcome itself: that
  // is posted as an event by the engine poller's calls.
  EngineConnection(dispatch::EngineConnectionId id, const config::Endpoint& endpoint, Time connect_deadline,
                   const std::vector<std::string>& report_fields, DispatcherQueue& event_queue,
                   Poller& slow_writer_poller, figures::Figures& figures);
  ~EngineConnection() override;  // aborts the connection

  // For the dispatcher thread.
  void send(dispatch::AttemptTag tag, EngineRequest request);
  // Removes a request of which nothing has been written. False: some of it may have been written.
  bool withdraw(dispatch::AttemptTag tag);
  void send_command(std::string bytes);
  void abort();  // any thread; stops reading and writing

  // For the engine poller's thread.
  int descriptor() const override { return socket_.descriptor(); }
  PollResult on_ready(Time now, bool is_ready) override;
  Time next_due() const override { return connected_ ? response_deadline_ : connect_deadline_; }
  void on_closed() override;

 private:
  struct Item {
    dispatch::AttemptTag tag = 0;
    std::variant<EngineRequest, std::string> payload;  // a request is serialized only when it is written
  };
  static std::string serialize(const Item& item);
  void enqueue(Item item, std::size_t bytes);
  bool complete_connect(bool is_ready);
  void handle_bytes(std::string_view bytes);

  const dispatch::EngineConnectionId id_;
  const Time connect_deadline_;
  DispatcherQueue& event_queue_;
  Poller& slow_writer_poller_;
  Socket socket_;
  // Used only by the engine poller's thread once constructed. failure_ is declared before connect_status_,
  // whose initializer starts the connect and sets failure_ if that fails at once.
  ConnectFailure failure_{"closed or reset by the engine", false};
  Socket::ConnectStatus connect_status_;
  protocol::RespReader reader_;
  bool connected_ = false;
  Time response_deadline_ = Time::max();  // by which an incomplete response must be complete
  Sender<Item> sender_;
};

}  // namespace yokestream::net
