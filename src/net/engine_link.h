// One connection to an engine. Its writer opens it and sends what is queued; its reader decodes answers.
// RESP.
#pragma once

#include <atomic>
#include <string>
#include <variant>
#include <vector>

#include "net/events.h"
#include "net/thread.h"

namespace yokestream::net {

class EngineLink {
 public:
  EngineLink(manager::LinkId id, const config::Endpoint& endpoint, Time deadline,
             const std::vector<std::string>& report_fields, Inbox& inbox);
  ~EngineLink();  // breaks off and joins

  void send(manager::SendTag tag, EngineRequest request);
  bool withdraw(manager::SendTag tag);
  void say(std::string bytes);
  void break_off();

 private:
  struct Item {
    manager::SendTag tag = 0;
    std::variant<EngineRequest, std::string> what;  // a request is worded when it leaves
  };
  void add(Item item, std::size_t bytes);
  void write(const config::Endpoint& endpoint, Time deadline);
  void read();
  void ended(std::string why);

  const manager::LinkId id_;
  const std::vector<std::string>& report_fields_;
  Inbox& inbox_;
  Socket socket_;
  Outbox<Item> outbox_;
  std::atomic<bool> told_ended_{false};
  Thread reader_, writer_;  // last: they use the rest. The writer starts the reader.
};

}  // namespace yokestream::net
