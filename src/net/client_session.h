// One client connection: its reader decodes requests, its writer sends answers. MessagePack-RPC; a second
// client protocol would be a class like this one.
#pragma once

#include <atomic>
#include <string>

#include "config/settings.h"
#include "net/events.h"
#include "net/thread.h"
#include "protocol/msgpack_rpc.h"

namespace yokestream::net {

class ClientSession {
 public:
  // `slot` is its place among the connections that may be there; what it reads is taken from `budget`.
  ClientSession(manager::SessionId id, Fd fd, manager::Reservation slot, const config::RealSettings& names,
                manager::Budget& budget, Inbox& inbox, manager::Log& log);
  ~ClientSession();  // breaks off and joins
  void start();      // once the core has been told of it

  void serve(manager::CallId call, manager::Result result);
  void refuse(manager::CallId call, Duration come_back_after);
  void fail(manager::CallId call, std::string_view why);
  void answer_probe(manager::CallId call, bool able);
  void taken() { turns_.give_back(); }  // the core has taken in one of its messages
  void break_off();
  bool break_off_idle();               // false: a message or an answer is on its way
  void finish() { outbox_.finish(); }  // the connection ends once all answers are written

 private:
  struct Item {
    std::string bytes;
    manager::Reservation held;
  };
  void add(std::string bytes, manager::Reservation held, std::size_t counted);
  void say(std::string bytes);
  void read();
  void read_messages();
  void write();

  const manager::SessionId id_;
  const manager::Reservation slot_;
  const config::RealSettings& names_;
  manager::Budget& budget_;
  Inbox& inbox_;
  manager::Log& log_;
  Socket socket_;
  Turns turns_;
  std::atomic<bool> served_{false};
  std::atomic<bool> busy_{false};  // its reader holds bytes of which the core does not know
  Outbox<Item> outbox_;
  Thread reader_, writer_;  // last: they use the rest
};

// A client's message as the core is to hear it.
manager::Event to_event(manager::SessionId session, protocol::ClientMessage message, Time arrived,
                        const config::RealSettings& names);

}  // namespace yokestream::net
