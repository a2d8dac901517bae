// The client connections: what each has open, and which of them are to be closed. Guards against clients that
// connect and ask for nothing, or ask once and keep the connection for good: each holds a descriptor and two
// threads, and a usual client must find room.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "dispatch/ports.h"

namespace yokestream::dispatch {

class ClientSessions {
 public:
  struct Bounds {
    std::size_t sessions = 256;     // connections; from three quarters of them on, idle ones have to go
    std::size_t open = 32;          // requests of one connection
    std::size_t open_at_first = 8;  // the same until one of them was served
    Duration first_within{};        // by then it has asked for something, or is closed
    Duration idle{};                // a connection with nothing open is closed after
    Duration suspicion{};
    std::size_t unserved = 64;  // answers to a client that was never served
    Duration fresh{};           // closing all: one that is new has so long to ask for something
  };
  explicit ClientSessions(Bounds bounds) : bounds_(bounds) {}

  // Returns the connection that has to make room for the new one, if one has to.
  std::optional<SessionId> begin(Time now, SessionId id, std::uint64_t origin = 0);
  std::uint64_t origin(SessionId id) const;  // where it comes from
  bool may_open(SessionId id) const;
  void opened(Time now, SessionId id);
  void closed(Time now, SessionId id);  // a request of it is no longer open
  // Something was sent to it. True: it was answered so often and never served that it floods, and has to go;
  // not while anything is open on it, which is owed an answer.
  bool answered(Time now, SessionId id);
  void served(Time now, SessionId id);
  bool proven(SessionId id) const;  // was it ever served?
  // An engine could not use a request of it. Never served otherwise, it is suspect for a while.
  void blame(Time now, SessionId id);
  bool suspect(Time now, SessionId id) const;
  void keep(SessionId id);  // what was named could not be closed: something has come from it
  void end(SessionId id) { sessions_.erase(id); }
  // Nothing more is read of it: it goes once nothing is open on it. Who has come to that, each once.
  void stall(SessionId id);
  std::vector<SessionId> settled();
  // Those to be closed as they have nothing open: for too long, or, oldest first, as connections run short;
  // with `spared`, each that is not new, after so long with nothing open. Each is named once.
  std::vector<SessionId> overdue(Time now, std::optional<Duration> spared);
  bool closing() const;  // is one that was named still there?
  bool empty() const { return sessions_.empty(); }

 private:
  struct Session {
    std::uint64_t origin = 0;
    Time since{}, last{};
    std::size_t open = 0, answers = 0;
    bool answered = false, served = false, closing = false, stalled = false;
    std::optional<Time> blamed;
  };
  bool crowded() const { return sessions_.size() >= bounds_.sessions * 3 / 4; }
  std::optional<SessionId> victim();
  Session* find(SessionId id);
  const Session* find(SessionId id) const;

  Bounds bounds_;
  std::map<SessionId, Session> sessions_;
};

}  // namespace yokestream::dispatch
