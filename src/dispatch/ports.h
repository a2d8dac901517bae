// The events that the dispatcher handles and the ports through which it acts. No protocol and no socket shows
// here: a second client protocol needs only a driver of its own that raises the same events. The thread that
// owns the dispatcher calls the ports.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "config/members.h"
#include "dispatch/budget.h"
#include "protocol/engine_messages.h"
#include "scheduler/quote.h"
#include "yokestream/policy/admission_controller.h"

namespace yokestream::dispatch {

using policy::Duration;
using policy::Time;

enum class SessionId : std::uint64_t {};           // one client connection
enum class EngineConnectionId : std::uint64_t {};  // one connection to an engine
using CallId = std::uint64_t;                      // a request on its session, as the client numbers it
using AttemptTag = std::uint64_t;                  // one attempt's request on a connection

// The ping tag with which an engine confirms that it has read an attempt's cancel.
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
  Time deadline{};  // from the time when its last byte came
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
struct QuoteRequested {  // asks how long this request would wait; it is not served
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
struct SessionStalled {  // nothing more is read of it; it is closed once it has its answers
  SessionId session{};
};
struct EngineConnected {
  EngineConnectionId connection{};
};
struct EngineDisconnected {  // refused, not up in time, reset, closed or broken
  EngineConnectionId connection{};
  std::string cause;
  bool local_fault = false;  // never up, for a lack on this machine that may pass: no fault of the engine
};
struct ResponseReceived {
  EngineConnectionId connection{};
  EngineResponse response;
};
struct EngineListChanged {
  config::MembersEvent event;
};
struct BeginShutdown {         // a planned restart has begun
  bool has_successor = false;  // another process shares the listener and is ready
  Duration max_duration{};     // with a successor: it may be killed so long after
};
struct StartDraining {};  // by the operators: clients are to leave
struct Resume {};         // by the operators: clients may come back
using Event = std::variant<SessionOpened, RequestReceived, BadRequest, RequestCancelled, ProbeReceived,
                           QuoteRequested, SessionClosed, SessionStalled, EngineConnected, EngineDisconnected,
                           ResponseReceived, EngineListChanged, BeginShutdown, StartDraining, Resume>;

// ---------------------------------------------------------------- actions

struct Result {
  std::string rows;
  Reservation memory_reservation;
};

// None of these calls blocks, and none raises an event before it returns.
class ClientPort {
 public:
  virtual ~ClientPort() = default;
  virtual void send_result(SessionId session, CallId call, Result result) = 0;
  virtual void send_rejection(SessionId session, CallId call, Duration come_back_after) = 0;
  virtual void send_failure(SessionId session, CallId call, std::string_view why) = 0;
  virtual void send_readiness(SessionId session, CallId call, bool able) = 0;
  // The wait quoted to a request that was admitted, for protocols whose answers can carry it.
  virtual void attach_quote(SessionId, CallId, const scheduler::Quote&) {}
  virtual void send_quote(SessionId, CallId, const scheduler::Quote&) {}
  virtual void close(SessionId session) = 0;  // a SessionClosed follows
  // The same, unless something has come from it whose event was not raised yet; then false.
  virtual bool close_if_idle(SessionId session) = 0;
  // Closed once its answers are written; a SessionClosed follows.
  virtual void close_after_responses(SessionId session) { close(session); }
  // Whether its client has closed the connection, though the SessionClosed has not come yet; checked right
  // before an attempt leaves.
  virtual bool has_disconnected(SessionId) { return false; }
};

class EnginePort {
 public:
  virtual ~EnginePort() = default;
  virtual void connect(EngineConnectionId connection, const config::Endpoint& endpoint, Time deadline) = 0;
  virtual void send(EngineConnectionId connection, AttemptTag tag, EngineRequest request) = 0;
  // Withdraws a request of which nothing was written yet; false: some of it may have been.
  virtual bool withdraw(EngineConnectionId connection, AttemptTag tag) = 0;
  virtual void cancel(EngineConnectionId connection, std::string_view id) = 0;
  virtual void ping(EngineConnectionId connection,
                    std::string_view tag) = 0;  // answered with a pong of this tag
  virtual void set_priority(EngineConnectionId connection, std::string_view id, std::uint32_t band) = 0;
  virtual void fetch_page(EngineConnectionId connection, std::string_view id, std::uint32_t page) = 0;
  virtual void release_result(EngineConnectionId connection, std::string_view id) = 0;
  virtual void close(EngineConnectionId connection) = 0;  // no further event of it matters
};

class Log {
 public:
  virtual ~Log() = default;
  virtual void write(std::string_view line) = 0;
};

}  // namespace yokestream::dispatch
