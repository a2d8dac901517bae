// Tracks the client connections and their open requests, and selects the connections to close.
//
// Failure: clients connect and send no request, or send one and keep the connection open.
// Symptom: each of them holds a descriptor, and other clients cannot connect.
// Guard: idle connections are closed.
//
// Owns one record per connection, from add() to remove(); sends nothing itself. Pure, not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "dispatch/ports.h"

namespace yokestream::dispatch {

class ClientSessions {
 public:
  struct Limits {
    std::size_t sessions = 256;      // idle connections are closed from three quarters of this on
    std::size_t open_requests = 32;  // per connection that was served
    std::size_t open_requests_before_first_result = 8;  // per connection that was not served yet
    Duration first_request_timeout{};                   // closes a connection that has sent no request
    Duration idle_timeout{};                            // closes a connection that has no open request
    Duration suspect_duration{};                        // how long a client stays suspect
    std::size_t responses_without_result = 64;          // closes a connection that was never served
    Duration new_session_grace{};  // when all idle connections are closed: time for the first request
  };
  explicit ClientSessions(Limits limits) : limits_(limits) {}

  // Returns the idle connection to close to make room for the new one, if any.
  std::optional<SessionId> add(Time now, SessionId id, std::uint64_t origin = 0);
  void remove(SessionId id) { sessions_.erase(id); }
  std::uint64_t origin(SessionId id) const;  // the client's address as a number; 0: unknown

  bool may_open_request(SessionId id) const;
  void on_request_opened(Time now, SessionId id);
  void on_request_closed(Time now, SessionId id);
  // Returns true if the connection is to be closed because the client floods: it received
  // `responses_without_result` responses and no result. False while a request is open, as its response is
  // still due.
  bool on_response_sent(Time now, SessionId id);
  void on_result_sent(Time now, SessionId id);
  bool was_served(SessionId id) const;  // at least once

  // Reports that an engine could not run a request of this client. A client that was never served is suspect
  // for Limits::suspect_duration.
  void mark_suspect(Time now, SessionId id);
  bool is_suspect(Time now, SessionId id) const;

  // Reports that the connection is to be closed once it has no open request, or that it is not any more.
  void mark_stalled(SessionId id);
  void clear_stalled(SessionId id);
  // Returns the stalled connections that have no open request left, each once.
  std::vector<SessionId> take_finished_stalled();
  // Returns the connections to close because they have no open request, each once: those that exceeded their
  // timeout and, when the number of connections nears its limit, the best candidate for eviction. With
  // `min_idle`, all that were idle for that long, except connections within `new_session_grace`.
  std::vector<SessionId> take_idle(Time now, std::optional<Duration> min_idle);
  // Keeps a connection that was returned for closing, because it has received something in the meantime.
  void cancel_close(SessionId id);
  bool any_closing() const;  // whether a connection that was returned for closing is still open
  bool empty() const { return sessions_.empty(); }

 private:
  struct Session {
    std::uint64_t origin = 0;
    Time opened_at{};
    Time last_activity{};
    std::size_t open_requests = 0;
    std::size_t responses = 0;
    bool answered = false;  // a response of any kind was sent
    bool served = false;    // a result was sent
    bool closing = false;
    bool stalled = false;  // to be closed (SessionStalled)
    std::optional<Time> suspected_at;
  };
  bool near_session_limit() const { return sessions_.size() >= limits_.sessions * 3 / 4; }
  std::optional<SessionId> take_eviction_candidate();
  Session* find(SessionId id);
  const Session* find(SessionId id) const;

  Limits limits_;
  std::map<SessionId, Session> sessions_;
};

}  // namespace yokestream::dispatch
