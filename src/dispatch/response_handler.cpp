#include "dispatch/response_handler.h"

#include <algorithm>
#include <utility>

namespace yokestream::dispatch {
namespace {

using policy::Outcome;
using policy::QueryId;

constexpr std::uint32_t kMaxResultPages = 64;
constexpr int kResultColumns = 3;

// A valid page has complete rows of three columns, each ended by a line feed. Only the page of a single-page
// result may be empty.
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

// An engine that waits reports what it waits for as the value: 2 is a table group.
policy::ProgressKind progress_kind_of(const EngineResponse& response) {
  if (response.progress == ProgressType::progress) return policy::ProgressKind::progress;
  if (response.progress == ProgressType::spilling) return policy::ProgressKind::spilling;
  return response.progress_value == 2 ? policy::ProgressKind::waiting_for_table_group
                                      : policy::ProgressKind::waiting_for_memory;
}

}  // namespace

void ResponseHandler::handle(const ResponseReceived& received) {
  EngineConnection* connection = deps_.connections.find(received.connection);
  if (!connection) return;
  connection->last_activity = deps_.clock.now();
  connection->unanswered_checks = 0;
  const EngineResponse& response = received.response;
  if (response.type == ResponseType::pong) return on_pong(*connection, response.id);
  const auto entry = connection->in_flight.find(response.id);
  if (entry == connection->in_flight.end()) return;  // late: the attempt has ended
  const QueryId query = entry->second;
  Request& request = deps_.requests.at(query);
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

// AttemptTracker sends a ping right after each cancel. Engines respond in the order in which they read
// messages, so the pong confirms that the cancel was read.
void ResponseHandler::on_pong(const EngineConnection& connection, const std::string& tag) {
  const auto confirmed =
      std::find_if(connection.in_flight.begin(), connection.in_flight.end(), [&](const auto& entry) {
        return cancel_confirmation_tag(deps_.requests.at(entry.second).attempt->tag) == tag;
      });
  if (confirmed == connection.in_flight.end()) return;
  const QueryId query = confirmed->second;
  deps_.attempts.end(query, deps_.requests.at(query), Outcome::cancelled);
}

void ResponseHandler::on_fault(QueryId query, Request& request, const EngineResponse& response) {
  Attempt& attempt = *request.attempt;
  attempt.response.load_report = response.load_report;
  if (response.type == ResponseType::failed && attempt.phase == AttemptPhase::in_flight &&
      !request.answered && !deps_.sessions.was_served(request.received.session))
    return fail_unserviceable(query, request);
  // A fault while pages are fetched means that the query has run but its result is lost.
  const bool ran = attempt.phase == AttemptPhase::fetching;
  deps_.attempts.end(query, request, ran ? Outcome::error : outcome_of(response.type));
}

// Failure: a client that was never served sends requests that no engine can run. Symptom: engines are ejected
// and the retry budget is used up. Guard: the request fails immediately, and the attempt is reported to the
// decision module as cancelled.
void ResponseHandler::fail_unserviceable(QueryId query, Request& request) {
  deps_.sessions.mark_suspect(deps_.clock.now(), request.received.session);
  deps_.responder.fail_open(request, "Unusable");
  deps_.attempts.end(query, request, Outcome::cancelled);
}

// Failure: an engine's response is corrupt. Symptom: clients receive rows that no engine produced. Guard: the
// connection is closed, and all attempts on it may have run.
void ResponseHandler::on_corrupt_response(EngineConnectionId connection) {
  deps_.attempts.close_connection(connection, "corrupt response");
}

void ResponseHandler::on_progress(QueryId query, const Attempt& attempt, const EngineResponse& response) {
  if (response.progress == ProgressType::none) return;
  policy::AttemptProgress progress;
  progress.query = query;
  progress.attempt = attempt.number;
  progress.engine.name = attempt.engine_uid;
  progress.value = response.progress_value;
  progress.kind = progress_kind_of(response);
  deps_.policy_events.push(progress);
}

void ResponseHandler::on_result(QueryId query, Request& request, EngineResponse response) {
  Attempt& attempt = *request.attempt;
  if (attempt.phase == AttemptPhase::fetching) return;
  // After a cancel the engine has dropped the further pages.
  if (attempt.phase == AttemptPhase::cancelling && response.page_count > 1) return;
  if (response.page_count == 0 || !is_valid_page(response, response.page_count == 1))
    return on_corrupt_response(attempt.connection);
  if (response.page_count > kMaxResultPages ||
      !deps_.budget.try_reserve(attempt.memory_reservation, response.body.size())) {
    deps_.log.write("result dropped: cause=\"too many pages, or results exceed the memory budget\"");
    return deps_.attempts.abandon(query, request, Outcome::error);
  }
  attempt.elapsed = deps_.clock.now() - attempt.sent_at;
  attempt.response = std::move(response);
  if (attempt.response.page_count <= 1) return deliver_result(query, request);
  attempt.phase = AttemptPhase::fetching;
  for (std::uint32_t page = 1; page < attempt.response.page_count; ++page)
    deps_.engines.fetch_page(attempt.connection, request.received.request_id, page);
}

void ResponseHandler::on_page(QueryId query, Request& request, EngineResponse response) {
  Attempt& attempt = *request.attempt;
  if (attempt.phase != AttemptPhase::fetching) return;
  if (response.page_index == 0 || response.page_index >= attempt.response.page_count) return;
  if (!is_valid_page(response, false)) return on_corrupt_response(attempt.connection);
  if (!deps_.budget.try_reserve(attempt.memory_reservation, response.body.size())) {
    deps_.log.write("result dropped: cause=\"results exceed the memory budget\"");
    return deps_.attempts.abandon(query, request, Outcome::error);
  }
  attempt.pages.emplace(response.page_index, std::move(response.body));
  if (attempt.pages.size() + 1 < attempt.response.page_count) return;
  deps_.engines.release_result(attempt.connection, request.received.request_id);
  for (auto& [page, rows] : attempt.pages) attempt.response.body += rows;
  deliver_result(query, request);
}

void ResponseHandler::deliver_result(QueryId query, Request& request) {
  if (!request.answered) deps_.responder.send_result(request);
  deps_.attempts.end(query, request, Outcome::served);
}

}  // namespace yokestream::dispatch
