#include "dispatch/response_handler.h"

#include <algorithm>
#include <utility>

namespace yokestream::dispatch {
namespace {

using policy::Outcome;
using policy::QueryId;

constexpr std::uint32_t kMaxResultPages = 64;
constexpr int kResultColumns = 3;

// Complete rows of three columns, a line feed after each; only a result of one page may be empty.
bool is_valid_page(const EngineResponse& response, bool may_be_empty) {
  const std::string& rows = response.body;
  if (rows.empty()) return may_be_empty;
  if (rows.back() != '\n') return false;
  int tabs = 0;
  for (const char c : rows) {
    if (c == '\t') ++tabs;
    if (c == '\n' && std::exchange(tabs, 0) != kResultColumns - 1) return false;
    if (c != '\t' && c != '\n' && (static_cast<unsigned char>(c) < 0x20 || c == 0x7f)) return false;
  }
  return true;
}

Outcome outcome_of(ResponseType type) {
  if (type == ResponseType::overloaded) return Outcome::shed;
  if (type == ResponseType::unknown_query) return Outcome::never_sent;
  return Outcome::error;
}

policy::ProgressKind progress_kind_of(const EngineResponse& response) {
  if (response.progress == ProgressType::progress) return policy::ProgressKind::progress;
  if (response.progress == ProgressType::spilling) return policy::ProgressKind::spilling;
  return response.progress_value == 2 ? policy::ProgressKind::waiting_for_table_group
                                      : policy::ProgressKind::waiting_for_memory;
}

}  // namespace

void ResponseHandler::handle(const ResponseReceived& received) {
  EngineConnection* connection = use_.connections.find(received.connection);
  if (!connection) return;
  connection->last_activity = use_.clock.now();
  connection->unanswered_checks = 0;
  const EngineResponse& response = received.response;
  if (response.type == ResponseType::pong) return on_pong(*connection, response.id);
  const auto carried = connection->in_flight.find(response.id);
  if (carried == connection->in_flight.end()) return;  // late: its attempt has ended
  const QueryId query = carried->second;
  Request& request = use_.requests.at(query);
  switch (response.type) {
    case ResponseType::progress:
      return on_progress(query, *request.attempt, response);
    case ResponseType::result:
      return on_result(query, request, response);
    case ResponseType::page:
      return on_page(query, request, response);
    case ResponseType::overloaded:
    case ResponseType::unknown_query:
    case ResponseType::failed:
      return on_fault(query, request, response);
    case ResponseType::pong:
      return;
  }
}

// Engines respond in the order of what they read, so one that answered the ping has read the cancel.
void ResponseHandler::on_pong(const EngineConnection& connection, const std::string& tag) {
  const auto confirmed =
      std::find_if(connection.in_flight.begin(), connection.in_flight.end(), [&](const auto& entry) {
        return cancel_confirmation_tag(use_.requests.at(entry.second).attempt->tag) == tag;
      });
  if (confirmed == connection.in_flight.end()) return;
  const QueryId query = confirmed->second;
  use_.attempts.end(query, use_.requests.at(query), Outcome::cancelled);
}

void ResponseHandler::on_fault(QueryId query, Request& request, const EngineResponse& response) {
  Attempt& attempt = *request.attempt;
  attempt.response.load_report = response.load_report;
  if (response.type == ResponseType::failed && attempt.phase == AttemptPhase::in_flight &&
      !request.answered && !use_.sessions.was_served(request.received.session))
    return fail_unserviceable(query, request);
  // While its pages are fetched it has run, and its result is lost.
  const bool ran = attempt.phase == AttemptPhase::fetching;
  use_.attempts.end(query, request, ran ? Outcome::error : outcome_of(response.type));
}

// Failure: a client that no engine has served yet asks for what none can run. Symptom: engines are ejected
// and the retry budget is spent. Guard: it fails at once, and the decision module takes the attempt for
// cancelled.
void ResponseHandler::fail_unserviceable(QueryId query, Request& request) {
  use_.sessions.mark_suspect(use_.clock.now(), request.received.session);
  use_.responder.fail_open(request, "Unusable");
  use_.attempts.end(query, request, Outcome::cancelled);
}

// Failure: an engine's response is corrupt. Symptom: clients get rows that no engine made. Guard: nothing
// more of its connection is believed; all that ran there may have run.
void ResponseHandler::on_corrupt_response(EngineConnectionId connection) {
  use_.attempts.close_connection(connection, "corrupt response");
}

void ResponseHandler::on_progress(QueryId query, const Attempt& attempt, const EngineResponse& response) {
  if (response.progress == ProgressType::none) return;
  policy::AttemptProgress progress;
  progress.query = query;
  progress.attempt = attempt.number;
  progress.engine.name = attempt.engine_uid;
  progress.value = response.progress_value;
  progress.kind = progress_kind_of(response);
  use_.policy_events.push(progress);
}

void ResponseHandler::on_result(QueryId query, Request& request, EngineResponse response) {
  Attempt& attempt = *request.attempt;
  if (attempt.phase == AttemptPhase::fetching) return;
  // Cancelling: the engine has dropped the further pages.
  if (attempt.phase == AttemptPhase::cancelling && response.page_count > 1) return;
  if (response.page_count == 0 || !is_valid_page(response, response.page_count == 1))
    return on_corrupt_response(attempt.connection);
  if (response.page_count > kMaxResultPages ||
      !use_.budget.try_reserve(attempt.memory_reservation, response.body.size())) {
    use_.log.write("result dropped: cause=\"too large, or results exceed the memory budget\"");
    return use_.attempts.abandon(query, request, Outcome::error);
  }
  attempt.elapsed = use_.clock.now() - attempt.sent_at;
  attempt.response = std::move(response);
  if (attempt.response.page_count <= 1) return deliver_result(query, request);
  attempt.phase = AttemptPhase::fetching;
  for (std::uint32_t page = 1; page < attempt.response.page_count; ++page)
    use_.engines.fetch_page(attempt.connection, request.received.request_id, page);
}

void ResponseHandler::on_page(QueryId query, Request& request, EngineResponse response) {
  Attempt& attempt = *request.attempt;
  if (attempt.phase != AttemptPhase::fetching) return;
  if (response.page_index == 0 || response.page_index >= attempt.response.page_count) return;
  if (!is_valid_page(response, false)) return on_corrupt_response(attempt.connection);
  if (!use_.budget.try_reserve(attempt.memory_reservation, response.body.size())) {
    use_.log.write("result dropped: cause=\"results exceed the memory budget\"");
    return use_.attempts.abandon(query, request, Outcome::error);
  }
  attempt.pages.emplace(response.page_index, std::move(response.body));
  if (attempt.pages.size() + 1 < attempt.response.page_count) return;
  use_.engines.release_result(attempt.connection, request.received.request_id);
  for (auto& [page, rows] : attempt.pages) attempt.response.body += rows;
  deliver_result(query, request);
}

void ResponseHandler::deliver_result(QueryId query, Request& request) {
  if (!request.answered) use_.responder.send_result(request);
  use_.attempts.end(query, request, Outcome::served);
}

}  // namespace yokestream::dispatch
