// Engines' answers: what each word means in the phase that its attempt is in.
//
// Invariants. An answer counts for an attempt only if its link carries the request's id; anything else is
// late and dropped. Rows reach a client only whole, in order and checked; a link that brought one spoilt
// answer is not believed in the next. Once `served` has come the query ran: whatever follows is about its
// pages.
#include <utility>

#include "dispatch/dispatcher.h"

namespace yokestream::dispatch {
namespace {

using policy::Outcome;
using policy::QueryId;

constexpr std::uint32_t kMostPages = 64;  // of one result
constexpr int kColumns = 3;
// Whole rows of three columns, each with a line feed after it; only a result of one page may have none.
bool good_page(const EngineResponse& answer, bool may_be_empty) {
  const std::string& rows = answer.body;
  if (rows.empty()) return may_be_empty;
  if (rows.back() != '\n') return false;
  int tabs = 0;
  for (const char c : rows) {
    if (c == '\t') ++tabs;
    if (c == '\n' && std::exchange(tabs, 0) != kColumns - 1) return false;
    if (c != '\t' && c != '\n' && (static_cast<unsigned char>(c) < 0x20 || c == 0x7f)) return false;
  }
  return true;
}
Outcome outcome_of(ResponseType word) {
  if (word == ResponseType::overloaded) return Outcome::shed;
  if (word == ResponseType::unknown_query) return Outcome::never_sent;
  return Outcome::error;
}

}  // namespace

// Engines answer in the order of what they read, so one that has answered the greeting has read the stop.
void Dispatcher::stop_confirmed(const EngineConnection& link, const std::string& tag) {
  for (const auto& [id, query] : link.carries) {
    Request& request = requests_.at(query);
    if (cancel_confirmation_tag(request.attempt->tag) != tag) continue;
    return end_attempt(query, request, Outcome::cancelled);
  }
}

void Dispatcher::on(const ResponseReceived& answered) {
  EngineConnection* link = links_.find(answered.connection);
  if (!link) return;
  link->heard = now_;
  link->unheard = 0;
  const EngineResponse& answer = answered.response;
  if (answer.type == ResponseType::pong) return stop_confirmed(*link, answer.id);
  const auto carried = link->carries.find(answer.id);
  if (carried == link->carries.end()) return;  // late: its attempt has ended
  const QueryId query = carried->second;
  Request& request = requests_.at(query);
  switch (answer.type) {
    case ResponseType::progress:
      return answered_note(query, *request.attempt, answer);
    case ResponseType::result:
      return answered_served(query, request, answer);
    case ResponseType::page:
      return answered_rows(query, request, answer);
    case ResponseType::overloaded:
    case ResponseType::unknown_query:
    case ResponseType::failed:
      // Once it was served, what follows concerns its pages: it ran, and its result is lost.
      request.attempt->end.load_report = answer.load_report;
      if (answer.type == ResponseType::failed && request.attempt->phase == Phase::out && !request.answered &&
          !sessions_.proven(request.told.session))
        return unusable(query, request);
      return end_attempt(
          query, request,
          request.attempt->phase == Phase::fetching ? Outcome::error : outcome_of(answer.type));
    case ResponseType::pong:
      return;
  }
}

// Guards the engines' good name and the ration of further attempts: a client that no engine has served yet
// asks for what none can use. It hears so at once, and the module takes the attempt for one called back.
void Dispatcher::unusable(QueryId query, Request& request) {
  sessions_.blame(now_, request.told.session);
  close_call(request);
  fail(request.told, "Unusable");
  end_attempt(query, request, Outcome::cancelled);
}

// Guards clients against rows that no engine made. Whoever spoils one answer is not believed in the next: the
// connection goes, and all that ran there may have run.
void Dispatcher::spoilt(EngineConnectionId link) {
  engines_.close(link);
  on(EngineDisconnected{link, "an answer was spoilt"});
}

void Dispatcher::answered_note(QueryId query, const Attempt& attempt, const EngineResponse& answer) {
  if (answer.progress == ProgressType::none) return;
  policy::AttemptProgress note;
  note.query = query;
  note.attempt = attempt.number;
  note.engine.name = attempt.uid;
  note.value = answer.progress_value;
  note.kind = answer.progress == ProgressType::progress   ? policy::ProgressKind::progress
              : answer.progress == ProgressType::spilling ? policy::ProgressKind::spilling
              : answer.progress_value == 2                ? policy::ProgressKind::waiting_for_table_group
                                                          : policy::ProgressKind::waiting_for_memory;
  tell(note);
}

void Dispatcher::answered_served(QueryId query, Request& request, EngineResponse answer) {
  Attempt& attempt = *request.attempt;
  if (attempt.phase == Phase::fetching) return;
  if (attempt.phase == Phase::stopping && answer.page_count > 1) return;  // its pages are gone with the stop
  if (answer.page_count == 0 || !good_page(answer, answer.page_count == 1)) return spoilt(attempt.link);
  if (answer.page_count > kMostPages || !budget_.try_reserve(attempt.held, answer.body.size())) {
    log_.write("a result is too large, or results take too much memory");
    return give_up_attempt(query, request, Outcome::error);
  }
  attempt.took = now_ - attempt.sent;
  attempt.end = std::move(answer);
  if (attempt.end.page_count <= 1) return serve(query, request);
  attempt.phase = Phase::fetching;
  for (std::uint32_t page = 1; page < attempt.end.page_count; ++page)
    engines_.fetch_page(attempt.link, request.told.request_id, page);
}

void Dispatcher::answered_rows(QueryId query, Request& request, EngineResponse answer) {
  Attempt& attempt = *request.attempt;
  if (attempt.phase != Phase::fetching || answer.page_index == 0 ||
      answer.page_index >= attempt.end.page_count)
    return;
  if (!good_page(answer, false)) return spoilt(attempt.link);
  if (!budget_.try_reserve(attempt.held, answer.body.size())) {
    log_.write("results take too much memory");
    return give_up_attempt(query, request, Outcome::error);
  }
  attempt.pages.emplace(answer.page_index, std::move(answer.body));
  if (attempt.pages.size() + 1 < attempt.end.page_count) return;
  engines_.release_result(attempt.link, request.told.request_id);
  for (auto& [page, rows] : attempt.pages) attempt.end.body += rows;
  serve(query, request);
}

void Dispatcher::serve(QueryId query, Request& request) {
  Attempt& attempt = *request.attempt;
  if (!request.answered) {
    const SessionId session = request.told.session;
    clients_.send_result(session, request.told.call,
                         Result{std::move(attempt.end.body), std::move(attempt.held)});
    sessions_.served(now_, session);
    figures_.ended(static_cast<std::size_t>(request.told.query_class), figures::End::served);
    tally(request, true);
    close_call(request);
  }
  end_attempt(query, request, Outcome::served);
}

}  // namespace yokestream::dispatch
