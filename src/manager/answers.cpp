// Engines' answers: what each word means in the phase that its attempt is in.
//
// Invariants. An answer counts for an attempt only if its link carries the request's id; anything else is
// late and dropped. Rows reach a client only whole, in order and checked; a link that brought one spoilt
// answer is not believed in the next. Once `served` has come the query ran: whatever follows is about its
// pages.
#include <utility>

#include "manager/manager.h"

namespace yokestream::manager {
namespace {

using lynxstand::Outcome;
using lynxstand::QueryId;

constexpr std::uint32_t kMostPages = 64;  // of one result
constexpr int kColumns = 3;
// Whole rows of three columns, each with a line feed after it; only a result of one page may have none.
bool good_page(const EngineAnswer& answer, bool may_be_empty) {
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
Outcome outcome_of(AnswerWord word) {
  if (word == AnswerWord::overload) return Outcome::shed;
  if (word == AnswerWord::nobody) return Outcome::never_sent;
  return Outcome::error;
}

}  // namespace

// Engines answer in the order of what they read, so one that has answered the greeting has read the stop.
void Manager::stop_confirmed(const Link& link, const std::string& tag) {
  for (const auto& [id, query] : link.carries) {
    Request& request = requests_.at(query);
    if (stop_tag(request.attempt->tag) != tag) continue;
    return end_attempt(query, request, Outcome::cancelled);
  }
}

void Manager::on(const Answered& answered) {
  Link* link = links_.find(answered.link);
  if (!link) return;
  link->heard = now_;
  link->unheard = 0;
  const EngineAnswer& answer = answered.answer;
  if (answer.word == AnswerWord::green) return stop_confirmed(*link, answer.id);
  const auto carried = link->carries.find(answer.id);
  if (carried == link->carries.end()) return;  // late: its attempt has ended
  const QueryId query = carried->second;
  Request& request = requests_.at(query);
  switch (answer.word) {
    case AnswerWord::update:
      return answered_note(query, *request.attempt, answer);
    case AnswerWord::served:
      return answered_served(query, request, answer);
    case AnswerWord::rows:
      return answered_rows(query, request, answer);
    case AnswerWord::overload:
    case AnswerWord::nobody:
    case AnswerWord::crashed:
      // Once it was served, what follows concerns its pages: it ran, and its result is lost.
      request.attempt->end.report = answer.report;
      if (answer.word == AnswerWord::crashed && request.attempt->phase == Phase::out && !request.answered &&
          !sessions_.proven(request.told.session))
        return unusable(query, request);
      return end_attempt(
          query, request,
          request.attempt->phase == Phase::fetching ? Outcome::error : outcome_of(answer.word));
    case AnswerWord::green:
      return;
  }
}

// Guards the engines' good name and the ration of further attempts: a client that no engine has served yet
// asks for what none can use. It hears so at once, and the module takes the attempt for one called back.
void Manager::unusable(QueryId query, Request& request) {
  sessions_.blame(now_, request.told.session);
  close_call(request);
  fail(request.told, "Unusable");
  end_attempt(query, request, Outcome::cancelled);
}

// Guards clients against rows that no engine made. Whoever spoils one answer is not believed in the next: the
// connection goes, and all that ran there may have run.
void Manager::spoilt(LinkId link) {
  engines_.close(link);
  on(LinkEnded{link, "an answer was spoilt"});
}

void Manager::answered_note(QueryId query, const Attempt& attempt, const EngineAnswer& answer) {
  if (answer.remark == Remark::none) return;
  lynxstand::AttemptNote note;
  note.query = query;
  note.attempt = attempt.number;
  note.engine.name = attempt.uid;
  note.value = answer.datum;
  note.note = answer.remark == Remark::progress   ? lynxstand::Note::progress
              : answer.remark == Remark::spill_mb ? lynxstand::Note::spills
              : answer.datum == 2                 ? lynxstand::Note::waits_for_load
                                                  : lynxstand::Note::waits_for_memory;
  tell(note);
}

void Manager::answered_served(QueryId query, Request& request, EngineAnswer answer) {
  Attempt& attempt = *request.attempt;
  if (attempt.phase == Phase::fetching) return;
  if (attempt.phase == Phase::stopping && answer.pages > 1) return;  // its pages are gone with the stop
  if (answer.pages == 0 || !good_page(answer, answer.pages == 1)) return spoilt(attempt.link);
  if (answer.pages > kMostPages || !budget_.take(attempt.held, answer.body.size())) {
    log_.note("a result is too large, or results take too much memory");
    return give_up_attempt(query, request, Outcome::error);
  }
  attempt.took = now_ - attempt.sent;
  attempt.end = std::move(answer);
  if (attempt.end.pages <= 1) return serve(query, request);
  attempt.phase = Phase::fetching;
  for (std::uint32_t page = 1; page < attempt.end.pages; ++page)
    engines_.fetch(attempt.link, request.told.request_id, page);
}

void Manager::answered_rows(QueryId query, Request& request, EngineAnswer answer) {
  Attempt& attempt = *request.attempt;
  if (attempt.phase != Phase::fetching || answer.page == 0 || answer.page >= attempt.end.pages) return;
  if (!good_page(answer, false)) return spoilt(attempt.link);
  if (!budget_.take(attempt.held, answer.body.size())) {
    log_.note("results take too much memory");
    return give_up_attempt(query, request, Outcome::error);
  }
  attempt.pages.emplace(answer.page, std::move(answer.body));
  if (attempt.pages.size() + 1 < attempt.end.pages) return;
  engines_.end(attempt.link, request.told.request_id);
  for (auto& [page, rows] : attempt.pages) attempt.end.body += rows;
  serve(query, request);
}

void Manager::serve(QueryId query, Request& request) {
  Attempt& attempt = *request.attempt;
  if (!request.answered) {
    const SessionId session = request.told.session;
    clients_.serve(session, request.told.call, Result{std::move(attempt.end.body), std::move(attempt.held)});
    sessions_.served(now_, session);
    figures_.ended(static_cast<std::size_t>(request.told.cls), figures::End::served);
    tally(request, true);
    close_call(request);
  }
  end_attempt(query, request, Outcome::served);
}

}  // namespace yokestream::manager
