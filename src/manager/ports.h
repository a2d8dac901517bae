// What goes into the core and what comes out of it. No protocol and no socket shows here: a second client
// protocol needs only a driver of its own that hands in the same events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "config/members.h"
#include "lynxstand/admission.h"
#include "manager/budget.h"
#include "messages/engine.h"
#include "queues/quote.h"

namespace yokestream::manager {

using lynxstand::Duration;
using lynxstand::Time;

enum class SessionId : std::uint64_t {};  // one client connection
enum class LinkId : std::uint64_t {};     // one connection to an engine
using CallId = std::uint64_t;             // a request on its session, as the client numbers it
using SendTag = std::uint64_t;            // one attempt's request on a link

// The greeting under which an engine confirms that it has read an attempt's stop.
inline std::string stop_tag(SendTag tag) { return "stop-" + std::to_string(tag); }

// ---------------------------------------------------------------- events

struct Arrived {
  SessionId session{};
  CallId call = 0;
  std::string request_id;
  lynxstand::ClassId cls{};
  lynxstand::TenantId tenant{};
  lynxstand::TableGroupId tables{};
  double memory_mb = 0;
  std::optional<Duration> work;
  Time deadline{};  // fixed when its last byte came
  bool repeat = false;
  std::string statement;
};
struct BadRequest {  // well formed, but not one that can be served
  SessionId session{};
  CallId call = 0;
  std::string problem;
};
struct GaveUp {
  SessionId session{};
  CallId call = 0;
};
struct ProbeAsked {
  SessionId session{};
  CallId call = 0;
};
struct QuoteAsked {  // how long would this one wait? It is not served
  Arrived request;
};
struct SessionBegan {  // before anything else of it
  SessionId session{};
  std::uint64_t origin = 0;  // the address that it comes from, as a number
};
struct SessionEnded {
  SessionId session{};
  const char* why = "closed by its client";  // a static text
};
struct SessionStalled {  // nothing more is read of it; it ends once it has its answers
  SessionId session{};
};
struct LinkUp {
  LinkId link{};
};
struct LinkEnded {  // refused, not up in time, reset, closed or broken
  LinkId link{};
  std::string why;
  bool local = false;  // never up, for a lack on this machine that may pass: it tells nothing of the engine
};
struct Answered {
  LinkId link{};
  EngineAnswer answer;
};
struct ListChanged {
  config::MembersEvent event;
};
struct Leave {             // a planned restart has begun
  bool successor = false;  // another process shares the listener and says yes
  Duration most{};         // with a successor: it may be killed so long after
};
struct Evacuate {};  // the operators send clients away
struct Activate {};  // and want them back
using Event =
    std::variant<SessionBegan, Arrived, BadRequest, GaveUp, ProbeAsked, QuoteAsked, SessionEnded,
                 SessionStalled, LinkUp, LinkEnded, Answered, ListChanged, Leave, Evacuate, Activate>;

// ---------------------------------------------------------------- actions

struct Result {
  std::string rows;
  Reservation held;
};

// None of these calls blocks, and none hands in an event before it returns.
class ClientPort {
 public:
  virtual ~ClientPort() = default;
  virtual void serve(SessionId session, CallId call, Result result) = 0;
  virtual void refuse(SessionId session, CallId call, Duration come_back_after) = 0;
  virtual void fail(SessionId session, CallId call, std::string_view why) = 0;
  virtual void answer_probe(SessionId session, CallId call, bool able) = 0;
  // What was quoted to a request that is let in, for fronts whose answers can carry it.
  virtual void quoted(SessionId, CallId, const queues::Quote&) {}
  virtual void answer_quote(SessionId, CallId, const queues::Quote&) {}
  virtual void close(SessionId session) = 0;  // a SessionEnded follows
  // The same, unless something has come from it that is not handed in yet; then false.
  virtual bool close_idle(SessionId session) = 0;
  // Closed once its answers are written; a SessionEnded follows.
  virtual void finish(SessionId session) { close(session); }
  // Has its client closed the connection, though the SessionEnded has not come yet? Looked at right before an
  // attempt leaves.
  virtual bool has_left(SessionId) { return false; }
};

class EnginePort {
 public:
  virtual ~EnginePort() = default;
  virtual void open(LinkId link, const config::Endpoint& endpoint, Time deadline) = 0;
  virtual void send(LinkId link, SendTag tag, EngineRequest request) = 0;
  // Takes a request back of which nothing has been written yet; false: some of it may have been.
  virtual bool withdraw(LinkId link, SendTag tag) = 0;
  virtual void stop(LinkId link, std::string_view id) = 0;
  virtual void hello(LinkId link, std::string_view tag) = 0;  // answered `green` under its tag
  virtual void nice(LinkId link, std::string_view id, std::uint32_t band) = 0;
  virtual void fetch(LinkId link, std::string_view id, std::uint32_t page) = 0;
  virtual void end(LinkId link, std::string_view id) = 0;
  virtual void close(LinkId link) = 0;  // no further event of this link matters
};

class Log {
 public:
  virtual ~Log() = default;
  virtual void note(std::string_view line) = 0;
};

}  // namespace yokestream::manager
