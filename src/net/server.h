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
#include "net/fleet_keeper.h"
#include "net/hand_over.h"
#include "net/listener.h"
#include "net/management.h"
#include "net/poller.h"
#include "net/thread.h"
#include "net/together.h"

namespace yokestream::net {

class Server : private manager::ClientPort, private manager::EnginePort {
 public:
  Server(const config::Config& config, manager::Log& log);  // throws std::system_error; serves from then on
  ~Server();
  config::Endpoint endpoint() const { return listener_->endpoint(); }
  void reload(const config::Config& config);           // the feed, what may change of the door, the teams
  std::optional<config::Endpoint> management() const;  // the operators' door, where there is one
  void leave();                                        // starts the end: what comes meanwhile is still served
  void wait();                                         // until it has come

 private:
  void run();
  void take(DriverEvent event);
  void note_if_slow(Time began, std::size_t events);
  void close_sessions();
  void open_gate();
  void heed_operators();
  void look_at_others();
  void hand_over();
  void look_at_part();
  void take(const RoutesTold& told);
  void look_at_routes();
  manager::Leave leave_as() const;

  void serve(manager::SessionId session, manager::CallId call, manager::Result result) override;
  void refuse(manager::SessionId session, manager::CallId call, Duration come_back_after) override;
  void fail(manager::SessionId session, manager::CallId call, std::string_view why) override;
  void answer_probe(manager::SessionId session, manager::CallId call, bool able) override;
  void quoted(manager::SessionId session, manager::CallId call, const queues::Quote& quote) override;
  void answer_quote(manager::SessionId session, manager::CallId call, const queues::Quote& quote) override;
  void close(manager::SessionId session) override;
  bool close_idle(manager::SessionId session) override;
  void finish(manager::SessionId session) override;
  bool has_left(manager::SessionId session) override;

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
  std::unique_ptr<FeedFollower> feed_;
  Gate gate_;
  std::unique_ptr<Listener> listener_;
  std::optional<Together> together_;     // where processes may share the listener
  std::optional<HandOver> hand_over_;    // the same
  Time next_look_{}, next_hand_over_{};  // at the others; the core's thread only
  std::optional<FleetKeeper> keeper_;    // where the fleet shares a store
  duty::Fleet::Allowed allowed_;         // the core's thread only, as the next: what it says
  duty::Part part_ = 0;                  // and what the core acts on
  std::int64_t applied_ = -1;            // the same: the table that says so
  std::int64_t routed_ = -1;             // and the routes that it keeps to
  Time next_tally_{};
  bool alone_ = false;                      // the core's thread only, as the next: others have gone
  bool evacuated_ = false;                  // the core's thread only: the wish that it has carried out
  std::unique_ptr<Management> management_;  // its thread reads the core's figures, and opens the gate
  Thread core_;                             // last: it uses the rest
};

}  // namespace yokestream::net
