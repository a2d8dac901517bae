// What goes into the core and what comes out of it. No protocol and no socket shows here: a second client
// protocol needs only a driver of its own that hands in the same events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "config/members.h"
#include "dispatch/budget.h"
#include "protocol/engine_messages.h"
#include "queues/quote.h"
#include "yokestream/policy/admission_controller.h"

namespace yokestream::dispatch {

using policy::Duration;
using policy::Time;

enum class SessionId : std::uint64_t {};           // one client connection
enum class EngineConnectionId : std::uint64_t {};  // one connection to an engine
using CallId = std::uint64_t;                      // a request on its session, as the client numbers it
using AttemptTag = std::uint64_t;                  // one attempt's request on a link

// The greeting under which an engine confirms that it has read an attempt's stop.
inline std::string cancel_confirmation_tag(AttemptTag tag) { return "stop-" + std::to_string(tag); }

// ---------------------------------------------------------------- events

struct RequestReceived {
  SessionId session{};
  CallId call = 0;
  std::string request_id;
  policy::ClassId query_class{};
  policy::TenantId tenant{};
  policy::TableGroupId table_group{};
  double memory_mb = 0;
  std::optional<Duration> work;
  Time deadline{};  // fixed when its last byte came
  bool is_retry = false;
  std::string statement;
};
struct BadRequest {  // well formed, but not one that can be served
  SessionId session{};
  CallId call = 0;
  std::string problem;
};
struct RequestCancelled {
  SessionId session{};
  CallId call = 0;
};
struct ProbeReceived {
  SessionId session{};
  CallId call = 0;
};
struct QuoteRequested {  // how long would this one wait? It is not served
  RequestReceived request;
};
struct SessionOpened {  // before anything else of it
  SessionId session{};
  std::uint64_t origin = 0;  // the address that it comes from, as a number
};
struct SessionClosed {
  SessionId session{};
  const char* cause = "closed by its client";  // a static text
};
struct SessionStalled {  // nothing more is read of it; it ends once it has its answers
  SessionId session{};
};
struct EngineConnected {
  EngineConnectionId connection{};
};
struct EngineDisconnected {  // refused, not up in time, reset, closed or broken
  EngineConnectionId connection{};
  std::string cause;
  bool local_fault =
      false;  // never up, for a lack on this machine that may pass: it tells nothing of the engine
};
struct ResponseReceived {
  EngineConnectionId connection{};
  EngineResponse response;
};
struct EngineListChanged {
  config::MembersEvent event;
};
struct BeginShutdown {         // a planned restart has begun
  bool has_successor = false;  // another process shares the listener and says yes
  Duration max_duration{};     // with a successor: it may be killed so long after
};
struct StartDraining {};  // the operators send clients away
struct Resume {};         // and want them back
using Event = std::variant<SessionOpened, RequestReceived, BadRequest, RequestCancelled, ProbeReceived,
                           QuoteRequested, SessionClosed, SessionStalled, EngineConnected, EngineDisconnected,
                           ResponseReceived, EngineListChanged, BeginShutdown, StartDraining, Resume>;

// ---------------------------------------------------------------- actions

struct Result {
  std::string rows;
  Reservation memory_reservation;
};

// None of these calls blocks, and none hands in an event before it returns.
class ClientPort {
 public:
  virtual ~ClientPort() = default;
  virtual void send_result(SessionId session, CallId call, Result result) = 0;
  virtual void send_rejection(SessionId session, CallId call, Duration come_back_after) = 0;
  virtual void send_failure(SessionId session, CallId call, std::string_view why) = 0;
  virtual void send_readiness(SessionId session, CallId call, bool able) = 0;
  // What was quoted to a request that is let in, for fronts whose answers can carry it.
  virtual void attach_quote(SessionId, CallId, const queues::Quote&) {}
  virtual void send_quote(SessionId, CallId, const queues::Quote&) {}
  virtual void close(SessionId session) = 0;  // a SessionEnded follows
  // The same, unless something has come from it that is not handed in yet; then false.
  virtual bool close_if_idle(SessionId session) = 0;
  // Closed once its answers are written; a SessionEnded follows.
  virtual void close_after_responses(SessionId session) { close(session); }
  // Has its client closed the connection, though the SessionEnded has not come yet? Looked at right before an
  // attempt leaves.
  virtual bool has_disconnected(SessionId) { return false; }
};

class EnginePort {
 public:
  virtual ~EnginePort() = default;
  virtual void connect(EngineConnectionId link, const config::Endpoint& endpoint, Time deadline) = 0;
  virtual void send(EngineConnectionId link, AttemptTag tag, EngineRequest request) = 0;
  // Takes a request back of which nothing has been written yet; false: some of it may have been.
  virtual bool withdraw(EngineConnectionId link, AttemptTag tag) = 0;
  virtual void cancel(EngineConnectionId link, std::string_view id) = 0;
  virtual void ping(EngineConnectionId link, std::string_view tag) = 0;  // answered `green` under its tag
  virtual void set_priority(EngineConnectionId link, std::string_view id, std::uint32_t band) = 0;
  virtual void fetch_page(EngineConnectionId link, std::string_view id, std::uint32_t page) = 0;
  virtual void release_result(EngineConnectionId link, std::string_view id) = 0;
  virtual void close(EngineConnectionId link) = 0;  // no further event of this link matters
};

class Log {
 public:
  virtual ~Log() = default;
  virtual void write(std::string_view line) = 0;
};

}  // namespace yokestream::dispatch
