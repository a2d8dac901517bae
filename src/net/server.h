// The whole manager on sockets: the listener, all connections, the feed, and the thread that owns the core.
#pragma once

#include <map>
#include <memory>
#include <optional>

#include "config/config.h"
#include "manager/manager.h"
#include "net/client_session.h"
#include "net/engine_link.h"
#include "net/events.h"
#include "net/feed_follower.h"
#include "net/poller.h"
#include "net/thread.h"

namespace yokestream::net {

class Listener;

// Destroys client connections and the listener, which joins their threads, on a thread of its own: the core
// never waits for one.
class Undertaker {
 public:
  Undertaker();
  ~Undertaker();
  void bury(std::shared_ptr<ClientSession> session);
  void bury(std::unique_ptr<Listener> listener);

 private:
  using Dead = std::variant<std::shared_ptr<ClientSession>, std::unique_ptr<Listener>>;
  Outbox<Dead> dead_;
  Thread thread_;
};

// Accepts clients. Its thread waits for them and for its own end together.
class Listener {
 public:
  // `slots`: connections that may be there at once; it outlives them, as the listener does not.
  Listener(const config::Config& config, manager::Budget& slots, manager::Budget& budget, Inbox& inbox,
           Readers& readers, manager::Log& log);
  ~Listener();
  config::Endpoint endpoint() const { return local_endpoint(fd_); }

 private:
  void accept_all();
  bool wait_until(Time deadline, bool for_clients);  // false: it is over

  Fd fd_, over_;  // over_: can be read once all is over
  const config::RealSettings& names_;
  manager::Budget& budget_;
  manager::Budget& slots_;
  Inbox& inbox_;
  Readers& readers_;
  manager::Log& log_;
  std::uint64_t last_session_ = 0;
  Thread thread_;  // last: it uses the rest
};

class Server : private manager::ClientPort, private manager::EnginePort {
 public:
  Server(const config::Config& config, manager::Log& log);  // throws std::system_error; serves from then on
  ~Server();
  config::Endpoint endpoint() const { return listener_->endpoint(); }
  void reload(const config::Config& config);  // the feed, what may change of the door, the teams
  void leave();                               // starts the end: what comes meanwhile is still served
  void wait();                                // until it has come

 private:
  void run();
  void take(DriverEvent event);
  void follow(const std::optional<config::Endpoint>& feed);
  void note_if_slow(Time began, std::size_t events);
  void close_sessions();

  void serve(manager::SessionId session, manager::CallId call, manager::Result result) override;
  void refuse(manager::SessionId session, manager::CallId call, Duration come_back_after) override;
  void fail(manager::SessionId session, manager::CallId call, std::string_view why) override;
  void answer_probe(manager::SessionId session, manager::CallId call, bool able) override;
  void quoted(manager::SessionId session, manager::CallId call, const queues::Quote& quote) override;
  void answer_quote(manager::SessionId session, manager::CallId call, const queues::Quote& quote) override;
  void close(manager::SessionId session) override;
  bool close_idle(manager::SessionId session) override;

  void open(manager::LinkId link, const config::Endpoint& endpoint, Time deadline) override;
  void send(manager::LinkId link, manager::SendTag tag, EngineRequest request) override;
  bool withdraw(manager::LinkId link, manager::SendTag tag) override;
  void stop(manager::LinkId link, std::string_view id) override;
  void hello(manager::LinkId link, std::string_view tag) override;
  void nice(manager::LinkId link, std::string_view id, std::uint32_t band) override;
  void fetch(manager::LinkId link, std::string_view id, std::uint32_t page) override;
  void end(manager::LinkId link, std::string_view id) override;
  void close(manager::LinkId link) override;

  ClientSession* find(manager::SessionId session);
  EngineLink* find(manager::LinkId link);

  const config::Config& config_;
  manager::Log& log_;
  manager::Budget budget_, slots_;  // bytes; client connections
  Inbox inbox_;
  // Before all that holds connections: engines and clients are read there, slow ones of both written to.
  Poller dock_, lobby_, writer_;
  Readers readers_;
  Undertaker undertaker_;
  std::map<manager::SessionId, std::shared_ptr<ClientSession>> sessions_;  // the core's thread only
  std::map<manager::LinkId, std::shared_ptr<EngineLink>> links_;           // the core's thread only
  Time next_slow_note_{};
  manager::Manager manager_;
  std::optional<config::Endpoint> followed_;  // the core's thread only, as is the follower
  std::uint64_t last_event_ = 0;
  std::unique_ptr<FeedFollower> feed_;
  std::unique_ptr<Listener> listener_;
  Thread core_;  // last: it uses the rest
};

}  // namespace yokestream::net
