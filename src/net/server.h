// The whole manager on sockets: the listener, all connections, the feed, and the thread that owns the core.
#pragma once

#include <map>
#include <memory>
#include <optional>

#include "config/config.h"
#include "dispatch/dispatcher.h"
#include "net/client_session.h"
#include "net/engine_connection.h"
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

class Server : private dispatch::ClientPort, private dispatch::EnginePort {
 public:
  Server(const config::Config& config, dispatch::Log& log);  // throws std::system_error; serves from then on
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
  dispatch::BeginShutdown leave_as() const;

  void send_result(dispatch::SessionId session, dispatch::CallId call, dispatch::Result result) override;
  void send_rejection(dispatch::SessionId session, dispatch::CallId call, Duration come_back_after) override;
  void send_failure(dispatch::SessionId session, dispatch::CallId call, std::string_view why) override;
  void send_readiness(dispatch::SessionId session, dispatch::CallId call, bool able) override;
  void attach_quote(dispatch::SessionId session, dispatch::CallId call, const queues::Quote& quote) override;
  void send_quote(dispatch::SessionId session, dispatch::CallId call, const queues::Quote& quote) override;
  void close(dispatch::SessionId session) override;
  bool close_if_idle(dispatch::SessionId session) override;
  void close_after_responses(dispatch::SessionId session) override;
  bool has_disconnected(dispatch::SessionId session) override;

  void connect(dispatch::EngineConnectionId link, const config::Endpoint& endpoint, Time deadline) override;
  void send(dispatch::EngineConnectionId link, dispatch::AttemptTag tag, EngineRequest request) override;
  bool withdraw(dispatch::EngineConnectionId link, dispatch::AttemptTag tag) override;
  void cancel(dispatch::EngineConnectionId link, std::string_view id) override;
  void ping(dispatch::EngineConnectionId link, std::string_view tag) override;
  void set_priority(dispatch::EngineConnectionId link, std::string_view id, std::uint32_t band) override;
  void fetch_page(dispatch::EngineConnectionId link, std::string_view id, std::uint32_t page) override;
  void release_result(dispatch::EngineConnectionId link, std::string_view id) override;
  void close(dispatch::EngineConnectionId link) override;

  ClientSession* find(dispatch::SessionId session);
  EngineConnection* find(dispatch::EngineConnectionId link);

  const config::Config& config_;
  dispatch::Log& log_;
  dispatch::Budget budget_, slots_;  // bytes; client connections
  Inbox inbox_;
  // Before all that holds connections: engines and clients are read there, slow ones of both written to.
  Poller dock_, lobby_, writer_;
  ReaderPool readers_;
  Undertaker undertaker_;
  std::map<dispatch::SessionId, std::shared_ptr<ClientSession>> sessions_;           // the core's thread only
  std::map<dispatch::EngineConnectionId, std::shared_ptr<EngineConnection>> links_;  // the core's thread only
  Time next_slow_note_{};
  dispatch::Dispatcher manager_;
  std::unique_ptr<FeedFollower> feed_;
  Gate gate_;
  std::unique_ptr<Listener> listener_;
  std::optional<Together> together_;              // where processes may share the listener
  std::optional<HandOver> hand_over_;             // the same
  Time next_look_{}, next_hand_over_{};           // at the others; the core's thread only
  std::optional<FleetKeeper> keeper_;             // where the fleet shares a store
  coordination::FleetMember::LoadGrant allowed_;  // the core's thread only, as the next: what it says
  coordination::LoadShare part_ = 0;              // and what the core acts on
  std::int64_t applied_ = -1;                     // the same: the table that says so
  std::int64_t routed_ = -1;                      // and the routes that it keeps to
  Time next_tally_{};
  bool alone_ = false;                      // the core's thread only, as the next: others have gone
  bool evacuated_ = false;                  // the core's thread only: the wish that it has carried out
  std::unique_ptr<Management> management_;  // its thread reads the core's figures, and opens the gate
  Thread core_;                             // last: it uses the rest
};

}  // namespace yokestream::net
