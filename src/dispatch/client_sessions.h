// The client connections: what each has open, and which of them are to be closed.
//
// Failure: clients connect and ask for nothing, or ask once and keep the connection. Symptom: each holds a
// descriptor, and usual clients find no capacity. Guard: idle connections are closed.
// Owns one record a connection, from add() to remove(); sends nothing itself. Pure, one thread.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "dispatch/ports.h"

namespace yokestream::dispatch {

class ClientSessions {
 public:
  struct Limits {
    std::size_t sessions = 256;              // from three quarters of them on, idle ones are closed
    std::size_t open_requests = 32;          // of one connection
    std::size_t open_requests_unproven = 8;  // the same until one of them was served
    Duration first_request_timeout{};        // a connection without a request is closed after
    Duration idle_timeout{};                 // one with nothing open is closed after
    Duration suspicion{};                    // how long a client stays suspect
    std::size_t unserved_responses = 64;     // to a client that was never served
    Duration new_session_grace{};            // closing all: one that is new may take so long to ask
  };
  explicit ClientSessions(Limits limits) : limits_(limits) {}

  // Returns the connection that is to be closed to make room for the new one, if one is.
  std::optional<SessionId> add(Time now, SessionId id, std::uint64_t origin = 0);
  void remove(SessionId id) { sessions_.erase(id); }
  std::uint64_t origin(SessionId id) const;  // the client's address as a number; 0: unknown

  bool may_open_request(SessionId id) const;
  void on_request_opened(Time now, SessionId id);
  void on_request_closed(Time now, SessionId id);
  // True: the client floods, as it was answered so often and never served, and is to be closed; not while
  // anything is open on it, which is owed an answer.
  bool on_response_sent(Time now, SessionId id);
  void on_result_sent(Time now, SessionId id);
  bool was_served(SessionId id) const;  // at least once

  // An engine could not run a request of it. A client that was never served is suspect for a while.
  void mark_suspect(Time now, SessionId id);
  bool is_suspect(Time now, SessionId id) const;

  // Nothing more is read of it: it is closed once nothing is open on it.
  void mark_stalled(SessionId id);
  // The stalled ones on which nothing is open any more; each is returned once.
  std::vector<SessionId> take_finished_stalled();
  // Those to be closed as they have nothing open: for too long, or, oldest first, as connections run short;
  // with `min_idle`, each that is not new and was idle for so long. Each is returned once.
  std::vector<SessionId> take_idle(Time now, std::optional<Duration> min_idle);
  void cancel_close(SessionId id);  // one that was returned could not be closed: something has come from it
  bool any_closing() const;         // whether one that was returned is still there
  bool empty() const { return sessions_.empty(); }

 private:
  struct Session {
    std::uint64_t origin = 0;
    Time opened_at{};
    Time last_activity{};
    std::size_t open_requests = 0;
    std::size_t responses = 0;
    bool answered = false;
    bool served = false;
    bool closing = false;
    bool stalled = false;
    std::optional<Time> suspected_at;
  };
  bool crowded() const { return sessions_.size() >= limits_.sessions * 3 / 4; }
  std::optional<SessionId> take_victim();
  Session* find(SessionId id);
  const Session* find(SessionId id) const;

  Limits limits_;
  std::map<SessionId, Session> sessions_;
};

}  // namespace yokestream::dispatch
