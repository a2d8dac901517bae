// The events that the dispatcher handles and the ports through which it acts. Both are independent of
// protocols and sockets: a second client protocol needs only its own driver that raises the same events. The
// ports are called on the dispatcher's thread.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "config/members.h"
#include "dispatch/budget.h"
#include "protocol/engine_messages.h"
#include "scheduler/wait_estimate.h"
#include "yokestream/policy/admission_controller.h"

namespace yokestream::dispatch {

using policy::Duration;
using policy::Time;

enum class SessionId : std::uint64_t {};           // one client connection
enum class EngineConnectionId : std::uint64_t {};  // one connection to an engine
using CallId = std::uint64_t;                      // a request on its session, numbered by the client
using AttemptTag = std::uint64_t;                  // one attempt, unique in this process

// The tag of the ping that follows an attempt's cancel. The engine's pong confirms that it has read the
// cancel.
inline std::string cancel_confirmation_tag(AttemptTag tag) { return "stop-" + std::to_string(tag); }

// Events

struct RequestReceived {
  SessionId session{};
  CallId call = 0;
  std::string request_id;
  policy::ClassId query_class{};
  policy::TenantId tenant{};
  policy::TableGroupId table_group{};
  double memory_mb = 0;
  std::optional<Duration> work;  // the client's estimate
  Time deadline{};               // counted from the arrival of the request's last byte
  bool is_retry = false;
  std::string statement;
};
struct BadRequest {  // a well-formed message that is not a valid request
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
struct QuoteRequested {  // asks how long this request would wait; the request itself is not run
  RequestReceived request;
};
struct SessionOpened {  // precedes all other events of the session
  SessionId session{};
  std::uint64_t origin = 0;  // the client's address as a number
};
struct SessionClosed {
  SessionId session{};
  const char* cause = "closed by its client";  // a string literal
  bool requests_pending = false;               // this process closed it over requests without a response
};
struct SessionStalled {  // to be closed once its open requests are answered: its client sent a message that
                         // is malformed, or that does not get complete
  SessionId session{};
};
struct SessionResumed {  // no longer stalled: the message is complete after all
  SessionId session{};
};
struct EngineConnected {
  EngineConnectionId connection{};
};
struct EngineDisconnected {  // refused, timed out while connecting, reset, closed or invalid data received
  EngineConnectionId connection{};
  std::string cause;
  bool local_fault = false;  // not connected due to a temporary shortage of local resources
};
struct ResponseReceived {
  EngineConnectionId connection{};
  EngineResponse response;
};
struct EngineListChanged {
  config::MembersEvent event;
};
struct BeginShutdown {         // starts a planned restart
  bool has_successor = false;  // another process shares the listener and is ready
  Duration max_duration{};     // the process may be killed after this time; 0: not known
};
struct StartDraining {};  // requested by the operators: stop serving clients
struct Resume {};         // requested by the operators: serve clients again
using Event =
    std::variant<SessionOpened, RequestReceived, BadRequest, RequestCancelled, ProbeReceived, QuoteRequested,
                 SessionClosed, SessionStalled, SessionResumed, EngineConnected, EngineDisconnected,
                 ResponseReceived, EngineListChanged, BeginShutdown, StartDraining, Resume>;

// Ports

struct Result {
  std::string rows;
  Reservation memory_reservation;
};

// None of these calls blocks, and none raises an event before it returns.
class ClientPort {
 public:
  virtual ~ClientPort() = default;
  virtual void send_result(SessionId session, CallId call, Result result) = 0;
  virtual void send_rejection(SessionId session, CallId call, Duration retry_after) = 0;
  virtual void send_failure(SessionId session, CallId call, std::string_view cause) = 0;
  virtual void send_readiness(SessionId session, CallId call, bool ready) = 0;
  // Adds the quoted wait to the answer of an admitted request, in protocols that support it.
  virtual void attach_quote(SessionId, CallId, const scheduler::WaitEstimate&) {}
  virtual void send_quote(SessionId, CallId, const scheduler::WaitEstimate&) {}
  virtual void close(SessionId session) = 0;  // is followed by a SessionClosed event
  // Like close(), but returns false and leaves the connection open if it has received data whose event was
  // not raised yet.
  virtual bool close_if_idle(SessionId session) = 0;
  // Closes the connection once its answers are written; a SessionClosed event follows. Returns false and
  // leaves the connection open if it has received data whose event was not raised yet.
  virtual bool close_after_responses(SessionId session) {
    close(session);
    return true;
  }
  // Returns whether the client has closed the connection, even if SessionClosed was not raised yet. Called
  // right before an attempt is sent.
  virtual bool has_disconnected(SessionId) { return false; }
};

class EnginePort {
 public:
  virtual ~EnginePort() = default;
  virtual void connect(EngineConnectionId connection, const config::Endpoint& endpoint, Time deadline) = 0;
  virtual void send(EngineConnectionId connection, AttemptTag tag, EngineRequest request) = 0;
  // Withdraws a request that is not written yet. Returns false if some of it may have been written.
  virtual bool withdraw(EngineConnectionId connection, AttemptTag tag) = 0;
  virtual void cancel(EngineConnectionId connection, std::string_view id) = 0;
  // The engine answers with a pong that carries the tag.
  virtual void ping(EngineConnectionId connection, std::string_view tag) = 0;
  virtual void set_priority(EngineConnectionId connection, std::string_view id, std::uint32_t band) = 0;
  virtual void fetch_page(EngineConnectionId connection, std::string_view id, std::uint32_t page) = 0;
  virtual void release_result(EngineConnectionId connection, std::string_view id) = 0;
  virtual void close(EngineConnectionId connection) = 0;  // its later events are ignored
};

class Log {
 public:
  virtual ~Log() = default;
  virtual void write(std::string_view line) = 0;
};

}  // namespace yokestream::dispatch
